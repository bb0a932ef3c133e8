package org.foxtailmoor.core.admission;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Usual service times by kind of request: slow moving geometric means, which a few very long
 * requests hardly change. Not thread-safe.
 */
public final class UsualServiceTimes {
    /** Maximum number of kinds; the least recently used one is evicted first. */
    static final int KIND_LIMIT = 64;

    /** Weight of a new sample: usual times change little within 50 requests. */
    private static final double WEIGHT = 0.02;

    /**
     * Largest deviation that changes the usual time, so that neither a tail of long requests nor a
     * minority of targets with wrong statements moves it far.
     */
    private static final double MAX_STEP = Math.log(2);

    /** Largest deviation returned. */
    private static final double MAX_DEVIATION = Math.log(10);

    private static final float LOAD_FACTOR = 0.75f;

    private static final class Mean {
        private double mLogarithm;
        private long mSamples;
        private long mSampledNanoseconds;
    }

    private final double mTimeConstantNanoseconds;
    private final Map<String, Mean> mKinds =
            new LinkedHashMap<>(KIND_LIMIT, LOAD_FACTOR, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Mean> eldest) {
                    return size() > KIND_LIMIT;
                }
            };

    /** Creates usual times that follow a change within about 50 requests of a kind. */
    public UsualServiceTimes() {
        this(1);
    }

    /**
     * Creates usual times that follow a change within about 50 requests of a kind, but not faster
     * than with a time constant.
     *
     * @param timeConstantNanoseconds time constant, above 0
     */
    UsualServiceTimes(long timeConstantNanoseconds) {
        mTimeConstantNanoseconds = timeConstantNanoseconds;
    }

    /**
     * Adds a service time.
     *
     * @param kind kind of the request, not null
     * @param nanoseconds service time; values below 1 count as 1
     * @param nowNanoseconds ticker time
     * @return natural logarithm of the ratio of the time to the usual one, limited to about 2.3 in
     *     both directions; 0 for the first time of a kind
     */
    public double add(String kind, double nanoseconds, long nowNanoseconds) {
        Mean mean = mKinds.computeIfAbsent(kind, name -> new Mean());
        double passed = nowNanoseconds - mean.mSampledNanoseconds;
        double weight = Math.min(WEIGHT, passed / mTimeConstantNanoseconds);
        mean.mSampledNanoseconds = nowNanoseconds;
        double logarithm = Math.log(Math.max(1, nanoseconds));
        mean.mSamples++;
        if (mean.mSamples == 1) {
            mean.mLogarithm = logarithm;
            return 0;
        }
        double deviation = logarithm - mean.mLogarithm;
        mean.mLogarithm += limit(deviation, MAX_STEP) * Math.max(weight, 1.0 / mean.mSamples);
        return limit(deviation, MAX_DEVIATION);
    }

    private static double limit(double deviation, double maximum) {
        return Math.max(-maximum, Math.min(maximum, deviation));
    }

    /** Returns the usual service time of a kind in nanoseconds, 0 if unknown. */
    public double nanoseconds(String kind) {
        Mean mean = mKinds.get(kind);
        return mean == null ? 0 : Math.exp(mean.mLogarithm);
    }
}
