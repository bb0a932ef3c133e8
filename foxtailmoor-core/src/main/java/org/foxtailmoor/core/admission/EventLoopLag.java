package org.foxtailmoor.core.admission;

import io.netty.util.concurrent.Ticker;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

/**
 * Measures the lag of the data loop as the delay of its overdue tick. Not thread-safe; used only on
 * the data loop.
 *
 * <p>The lag grows when the loop needs more processor time than it gets, for instance when all
 * processes of a fleet restart together and receive the full load before their code is compiled.
 * Accepted requests then wait in the loop until they are late, and each attempt to place them
 * elsewhere uses time of another overloaded loop. Refusing new requests while the lag is above the
 * limit lets the loop finish the requests that it has accepted.
 */
public final class EventLoopLag {
    /**
     * Lag above which new requests are refused. Longer than a garbage collection pause and than the
     * 70 ms per 100 ms period for which a CPU quota of 0.3 cores throttles a process; well below
     * usual latency objectives.
     */
    public static final long LIMIT_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(80);

    private final Ticker mTicker;
    private long mDueNanoseconds;

    /**
     * Creates a measurement whose first tick is due now.
     *
     * @param ticker clock, not null
     */
    public EventLoopLag(Ticker ticker) {
        mTicker = Objects.requireNonNull(ticker, "ticker");
        mDueNanoseconds = ticker.nanoTime();
    }

    /** Records that the next tick is due after a delay. */
    public void tickScheduled(long delayNanoseconds) {
        mDueNanoseconds = mTicker.nanoTime() + delayNanoseconds;
    }

    /** Returns how long the next tick has been overdue, or 0 if it is not due yet. */
    public long nanoseconds() {
        return Math.max(0, mTicker.nanoTime() - mDueNanoseconds);
    }

    /** Returns whether the lag is above the limit, so that new requests must be refused. */
    public boolean exceedsLimit() {
        return nanoseconds() > LIMIT_NANOSECONDS;
    }
}
