package org.foxtailmoor.core.admission;

import java.util.concurrent.TimeUnit;

/**
 * Moving mean of service times. Without new samples it halves each second, so that a mean that
 * refuses all work cannot stay.
 */
final class ServiceTimeMean {
    private static final double NEW_SAMPLE_SHARE = 0.1;
    private static final double FRESH_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);

    private double mMeanNanoseconds;
    private long mSampledNanoseconds;
    private boolean mKnown;

    /** Adds the service time of a request that ended now. */
    void add(long serviceNanoseconds, long nowNanoseconds) {
        if (mKnown) {
            double mean = nanoseconds(nowNanoseconds);
            mMeanNanoseconds = mean + (serviceNanoseconds - mean) * NEW_SAMPLE_SHARE;
        } else {
            mMeanNanoseconds = serviceNanoseconds;
            mKnown = true;
        }
        mSampledNanoseconds = nowNanoseconds;
    }

    /** Returns the mean in nanoseconds, 0 before the first sample. */
    long nanoseconds(long nowNanoseconds) {
        double stale = nowNanoseconds - mSampledNanoseconds - FRESH_NANOSECONDS;
        if (!mKnown || stale <= 0) {
            return (long) mMeanNanoseconds;
        }
        return (long) (mMeanNanoseconds * Math.pow(0.5, stale / FRESH_NANOSECONDS));
    }
}
