package org.foxtailmoor.core.routing;

import io.netty.util.concurrent.Ticker;
import java.util.concurrent.TimeUnit;

/**
 * Wall clock derived from a ticker, for comparison with the creation times of idempotency keys. Not
 * thread-safe.
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
     * @param nowMilliseconds current time in milliseconds since the epoch
     */
    public static EpochClock of(Ticker ticker, long nowMilliseconds) {
        EpochClock clock = new EpochClock(ticker);
        clock.adjust(nowMilliseconds);
        return clock;
    }

    /** Returns the current time in milliseconds since the epoch. */
    public long milliseconds() {
        return tickerMilliseconds() + mOffsetMilliseconds;
    }

    /**
     * Sets the clock after the system clock was adjusted or the system was suspended.
     *
     * @param nowMilliseconds current time in milliseconds since the epoch
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
