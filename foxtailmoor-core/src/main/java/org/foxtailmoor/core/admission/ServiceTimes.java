package org.foxtailmoor.core.admission;

import java.util.LinkedHashMap;
import java.util.Map;

/** Moving averages of the service times of one target, per kind of request and overall. */
final class ServiceTimes {
    /** Maximum number of kinds; the least recently used one is evicted first. */
    static final int KIND_LIMIT = 64;

    private static final float LOAD_FACTOR = 0.75f;

    private final ServiceTimeMean mOverall = new ServiceTimeMean();
    private final Map<String, ServiceTimeMean> mKinds =
            new LinkedHashMap<>(KIND_LIMIT, LOAD_FACTOR, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, ServiceTimeMean> eldest) {
                    return size() > KIND_LIMIT;
                }
            };

    /** Adds the service time of a request that has just ended. */
    void add(String kind, long serviceNanoseconds, long nowNanoseconds) {
        mOverall.add(serviceNanoseconds, nowNanoseconds);
        mKinds.computeIfAbsent(kind, name -> new ServiceTimeMean())
                .add(serviceNanoseconds, nowNanoseconds);
    }

    /** Returns the mean of a kind in nanoseconds, or the overall mean if it has no sample. */
    long meanOfKind(String kind, long nowNanoseconds) {
        ServiceTimeMean mean = mKinds.get(kind);
        return mean == null ? overallMean(nowNanoseconds) : mean.nanoseconds(nowNanoseconds);
    }

    /**
     * Returns whether a kind has samples and a mean below a ratio of the mean of the kinds. Each
     * kind counts once: the mean of all requests would be that of the short ones if most are short.
     */
    boolean isShort(String kind, double ratio, long nowNanoseconds) {
        ServiceTimeMean own = mKinds.get(kind);
        if (own == null) {
            return false;
        }
        double sum = 0;
        for (ServiceTimeMean mean : mKinds.values()) {
            sum += mean.nanoseconds(nowNanoseconds);
        }
        return own.nanoseconds(nowNanoseconds) < sum / mKinds.size() * ratio;
    }

    /** Returns the overall mean in nanoseconds, or 0 before the first sample. */
    long overallMean(long nowNanoseconds) {
        return mOverall.nanoseconds(nowNanoseconds);
    }
}
