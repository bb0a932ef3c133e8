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

    /** Returns the overall mean in nanoseconds, or 0 before the first sample. */
    long overallMean(long nowNanoseconds) {
        return mOverall.nanoseconds(nowNanoseconds);
    }
}
