package org.foxtailmoor.core.admission;

import java.util.LinkedHashMap;
import java.util.Map;

/** Moving means of the times that requests spend at a target, by kind and over all kinds. */
final class ServiceTimes {
    /** Kinds that are remembered; the one that was used least recently is dropped first. */
    static final int KIND_LIMIT = 64;

    private static final float LOAD_FACTOR = 0.75f;

    private final ServiceTimeMean mAll = new ServiceTimeMean();
    private final Map<String, ServiceTimeMean> mKinds =
            new LinkedHashMap<>(KIND_LIMIT, LOAD_FACTOR, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, ServiceTimeMean> eldest) {
                    return size() > KIND_LIMIT;
                }
            };

    /** Adds the time of a request of a kind that ended now. */
    void add(String kind, long serviceNanoseconds, long nowNanoseconds) {
        mAll.add(serviceNanoseconds, nowNanoseconds);
        mKinds.computeIfAbsent(kind, name -> new ServiceTimeMean())
                .add(serviceNanoseconds, nowNanoseconds);
    }

    /** Returns the mean of a kind in nanoseconds, or that of all kinds if none has ended yet. */
    long ofKind(String kind, long nowNanoseconds) {
        ServiceTimeMean mean = mKinds.get(kind);
        return mean == null ? ofAll(nowNanoseconds) : mean.nanoseconds(nowNanoseconds);
    }

    /** Returns the mean of all kinds in nanoseconds, 0 before the first. */
    long ofAll(long nowNanoseconds) {
        return mAll.nanoseconds(nowNanoseconds);
    }
}
