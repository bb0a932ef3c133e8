package org.foxtailmoor.core.admission;

import java.util.concurrent.TimeUnit;

/**
 * Assigns refused callers the times at which they return: one after the other, at the rate at which
 * the queue is served. Callers that all return after the same time would be refused together again.
 */
public final class RetryAfterSpread {
    /** Shortest delay that is stated; a shorter one is as costly as an immediate repeat. */
    public static final int MIN_MILLISECONDS = 50;

    private static final int MAX_MILLISECONDS = 5_000;

    /** Clients wait for at most this part of the time that they have left. */
    public static final int HONOURED_DIVISOR = 3;

    /** Fraction whose multiples modulo 1 fill the unit interval evenly (the golden ratio). */
    private static final double EVEN_STEP = 0.618_033_988_75;

    private long mNextNanoseconds;
    private boolean mHasNext;
    private double mPosition;

    /**
     * Returns the delay to state to a refused caller, in milliseconds, at least {@link
     * #MIN_MILLISECONDS}. If more callers return than can be served in the time they have left,
     * they are spread evenly over a third of it.
     *
     * @param nowNanoseconds current ticker time
     * @param waitNanoseconds time that the queue needs
     * @param intervalNanoseconds time after which the target can take one more request
     * @param leftNanoseconds time until the deadline of the request
     */
    public int milliseconds(
            long nowNanoseconds,
            long waitNanoseconds,
            long intervalNanoseconds,
            long leftNanoseconds) {
        long max = TimeUnit.MILLISECONDS.toNanos(MAX_MILLISECONDS);
        long min = TimeUnit.MILLISECONDS.toNanos(MIN_MILLISECONDS);
        long cap = Math.max(min, Math.min(max, leftNanoseconds / HONOURED_DIVISOR));
        long earliest = nowNanoseconds + Math.max(min, Math.min(max, waitNanoseconds));
        if (!mHasNext || mNextNanoseconds - earliest < 0) {
            mNextNanoseconds = earliest;
            mHasNext = true;
        }
        long delay = mNextNanoseconds - nowNanoseconds;
        if (delay <= max) {
            mNextNanoseconds += Math.max(0, intervalNanoseconds);
        }
        if (delay > cap) {
            mPosition = (mPosition + EVEN_STEP) % 1;
            long from = Math.min(earliest - nowNanoseconds, cap / 2);
            delay = from + (long) (mPosition * (cap - from));
        }
        return (int) Math.max(MIN_MILLISECONDS, TimeUnit.NANOSECONDS.toMillis(delay));
    }
}
