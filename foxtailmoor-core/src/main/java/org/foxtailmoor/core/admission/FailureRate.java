package org.foxtailmoor.core.admission;

import io.netty.util.concurrent.Ticker;
import java.util.concurrent.TimeUnit;

/** Moving average of the share of requests that a target refused or failed. */
final class FailureRate {
    private static final double SMOOTHING_FACTOR = 0.1;

    /** Half-life without new outcomes, so that a failing target is retried. */
    private static final double HALF_LIFE_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);

    private final Ticker mTicker;
    private double mRate;
    private long mNanoseconds;

    FailureRate(Ticker ticker) {
        mTicker = ticker;
        mNanoseconds = ticker.nanoTime();
    }

    void record(boolean failed) {
        double rate = value();
        mRate = rate + ((failed ? 1 : 0) - rate) * SMOOTHING_FACTOR;
        mNanoseconds = mTicker.nanoTime();
    }

    /** Returns the rate, 0 to 1. */
    double value() {
        double age = mTicker.nanoTime() - mNanoseconds;
        return mRate * Math.pow(0.5, age / HALF_LIFE_NANOSECONDS);
    }
}
