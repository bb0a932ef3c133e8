package org.foxtailmoor.core.routing;

import io.netty.util.concurrent.Ticker;
import java.util.concurrent.TimeUnit;

/**
 * Derives the time of day from a ticker, for comparison with the creation times of keys. Not safe
 * for use by several threads at once.
 */
public final class EpochClock {
    private final Ticker mTicker;
    private long mOffsetMilliseconds;

    private EpochClock(Ticker ticker) {
        mTicker = ticker;
    }

    /**
     * Creates a clock.
     *
     * @param ticker source of time, not null
     * @param nowMilliseconds time of day now, in milliseconds since the epoch
     */
    public static EpochClock of(Ticker ticker, long nowMilliseconds) {
        EpochClock clock = new EpochClock(ticker);
        clock.adjust(nowMilliseconds);
        return clock;
    }

    /** Returns the time of day in milliseconds since the epoch. */
    public long milliseconds() {
        return tickerMilliseconds() + mOffsetMilliseconds;
    }

    /**
     * Sets the time of day, after the machine's clock was corrected or the machine was suspended.
     *
     * @param nowMilliseconds time of day now, in milliseconds since the epoch
     */
    public void adjust(long nowMilliseconds) {
        mOffsetMilliseconds = nowMilliseconds - tickerMilliseconds();
    }

    /** Returns the ticker that the clock runs on. */
    public Ticker ticker() {
        return mTicker;
    }

    private long tickerMilliseconds() {
        return TimeUnit.NANOSECONDS.toMillis(mTicker.nanoTime());
    }
}
