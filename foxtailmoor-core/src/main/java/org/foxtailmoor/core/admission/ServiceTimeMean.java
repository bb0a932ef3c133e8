package org.foxtailmoor.core.admission;

import java.util.concurrent.TimeUnit;

/**
 * Exponentially weighted moving average of service times. One second after the last sample it
 * starts to decay by half per second, so that a mean high enough to refuse all requests, and thus
 * to prevent new samples, does not persist.
 */
final class ServiceTimeMean {
    private static final double SMOOTHING_FACTOR = 0.1;
    private static final double DECAY_DELAY_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);
    private static final double HALF_LIFE_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);

    private double mMeanNanoseconds;
    private long mSampledNanoseconds;
    private boolean mHasSample;

    /** Adds the service time of a request that has just ended. */
    void add(long serviceNanoseconds, long nowNanoseconds) {
        if (mHasSample) {
            double mean = nanoseconds(nowNanoseconds);
            mMeanNanoseconds = mean + (serviceNanoseconds - mean) * SMOOTHING_FACTOR;
        } else {
            mMeanNanoseconds = serviceNanoseconds;
            mHasSample = true;
        }
        mSampledNanoseconds = nowNanoseconds;
    }

    /** Returns the mean in nanoseconds, or 0 before the first sample. */
    long nanoseconds(long nowNanoseconds) {
        double decaying = nowNanoseconds - mSampledNanoseconds - DECAY_DELAY_NANOSECONDS;
        if (!mHasSample || decaying <= 0) {
            return (long) mMeanNanoseconds;
        }
        return (long) (mMeanNanoseconds * Math.pow(0.5, decaying / HALF_LIFE_NANOSECONDS));
    }
}
