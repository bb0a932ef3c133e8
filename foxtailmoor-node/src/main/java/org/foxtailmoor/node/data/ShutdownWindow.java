package org.foxtailmoor.node.data;

import io.netty.util.concurrent.Ticker;
import java.util.concurrent.TimeUnit;

/**
 * Decides which requests may still start while the node shuts down. In the first part all may,
 * since callers need that time to turn to other nodes. Later ones may only start if their deadline
 * passes before the node closes its connections, so that none of them is broken off. Confined to
 * the data loop.
 */
final class ShutdownWindow {
    /** Longest first part; a longer one would not help callers, which turn away sooner. */
    static final long MAX_OPEN_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(2_500);

    /** Time between the deadline of a request and its answer, with a delayed data loop. */
    static final long ANSWER_MARGIN_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(100);

    private final Ticker mTicker;
    private boolean mStarted;
    private long mOpenUntilNanoseconds;
    private long mEndNanoseconds;

    /** Creates a window in which every request may start, until {@link #start} is called. */
    ShutdownWindow(Ticker ticker) {
        mTicker = ticker;
    }

    /**
     * Starts the shutdown.
     *
     * @param endNanoseconds ticker time at which the node closes its connections
     */
    void start(long endNanoseconds) {
        long now = mTicker.nanoTime();
        mStarted = true;
        mEndNanoseconds = endNanoseconds;
        mOpenUntilNanoseconds = now + Math.min((endNanoseconds - now) / 2, MAX_OPEN_NANOSECONDS);
    }

    /** Returns whether a request with this deadline may start now. */
    boolean allows(long deadlineNanoseconds) {
        return !mStarted
                || mTicker.nanoTime() - mOpenUntilNanoseconds <= 0
                || endsInTime(deadlineNanoseconds);
    }

    /** Returns whether a request with this deadline ends before the connections are closed. */
    boolean endsInTime(long deadlineNanoseconds) {
        return !mStarted || deadlineNanoseconds + ANSWER_MARGIN_NANOSECONDS - mEndNanoseconds <= 0;
    }

    /** Returns whether the shutdown has started and its time is over. */
    boolean hasEnded() {
        return mStarted && mTicker.nanoTime() - mEndNanoseconds >= 0;
    }
}
