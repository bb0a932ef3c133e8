package org.foxtailmoor.core.admission;

import io.netty.util.concurrent.Ticker;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

/**
 * Tells whether the data loop has more work than it gets processor time for: its next tick is
 * overdue. Belongs to the data loop.
 *
 * <p>Load pattern: all processes of a fleet restart together and meet the whole load while their
 * code is still cold. Work that is accepted then waits in the loop until it is late, and each
 * attempt to place it elsewhere costs time of another cold loop. What arrives while a tick is
 * overdue is refused instead, so that the loop finishes what it has accepted.
 */
public final class LoopBacklog {
    /**
     * Delay of a tick from which the loop is behind. Above a pause of the collector and above the
     * 70 ms for which a quota of 0.3 cores stops a process in each tenth of a second; well below
     * usual latency objectives.
     */
    public static final long BEHIND_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(80);

    private final Ticker mTicker;
    private long mDueNanoseconds;

    /** Creates a backlog whose first tick is due now; the ticker must not be null. */
    public LoopBacklog(Ticker ticker) {
        mTicker = Objects.requireNonNull(ticker, "ticker");
        mDueNanoseconds = ticker.nanoTime();
    }

    /** Takes note that the next tick is due after a delay. */
    public void scheduled(long delayNanoseconds) {
        mDueNanoseconds = mTicker.nanoTime() + delayNanoseconds;
    }

    /** Returns for how long the next tick has been overdue, 0 if it is not due yet. */
    public long delayNanoseconds() {
        return Math.max(0, mTicker.nanoTime() - mDueNanoseconds);
    }

    /** Returns whether new work is to be refused. */
    public boolean isBehind() {
        return delayNanoseconds() > BEHIND_NANOSECONDS;
    }
}
