package org.foxtailmoor.core.source;

import io.netty.util.concurrent.Ticker;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Source of the {@link ReadOrder} that a node reads. Another one than the first is used for some
 * time before the first one is tried again. Confined to the control loop.
 */
final class SelectedSource {
    /** Shortest use of another source before the first one is tried again. */
    private static final long MIN_DETOUR_NANOSECONDS = TimeUnit.SECONDS.toNanos(10);

    private static final long DETOUR_JITTER_NANOSECONDS = TimeUnit.SECONDS.toNanos(4);

    private final Ticker mTicker;
    private final RandomGenerator mRandom;
    private int mIndex;
    private long mFirstSourceNanoseconds;

    SelectedSource(Ticker ticker, RandomGenerator random) {
        mTicker = ticker;
        mRandom = random;
    }

    /** Returns the place of the source in the order of preference. */
    int index() {
        return mIndex;
    }

    /** Selects the first source of a new order. */
    void reset() {
        mIndex = 0;
    }

    /** Selects a source. */
    void select(int index) {
        if (index > 0 && index != mIndex) {
            mFirstSourceNanoseconds =
                    mTicker.nanoTime()
                            + MIN_DETOUR_NANOSECONDS
                            + mRandom.nextLong(DETOUR_JITTER_NANOSECONDS);
        }
        mIndex = index;
    }

    /** Selects the first source again if another one has been used for long enough. */
    void returnToFirst() {
        if (mIndex > 0 && mTicker.nanoTime() - mFirstSourceNanoseconds >= 0) {
            mIndex = 0;
        }
    }
}
