package org.foxtailmoor.core.admission;

import io.netty.util.concurrent.Ticker;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

/**
 * Estimates how long requests were in transit over one incoming link, from timestamps of the
 * sender's monotonic clock. Confined to the data loop.
 *
 * <p>The clocks of two processes differ by an unknown offset. The difference between the receiver's
 * clock on arrival and the sender's timestamp is {@code offset + transit}, and the smallest
 * difference seen is {@code offset + shortest transit}. Subtracting one from the other cancels the
 * offset and leaves the transit time above the shortest one, which is the time in queues. The
 * shortest transit time itself cannot be seen here. The sender knows it as half of its smallest
 * round trip and has already taken it off the remaining times that it states, so that every part of
 * the transit is counted once.
 *
 * <p>A process that pauses can make a difference only larger. The minimum covers the last {@link
 * #WINDOW_NANOSECONDS} to twice that, so that clocks that drift or stand still during a suspension
 * of their machine are not taken for a delay for longer.
 */
public final class TransitDelay {
    /**
     * Length of a window of the minimum. Longer than bursts, which last 3 to 7 s, so that the
     * minimum stems from a time without queues; a drift of 100 ppm adds 6 ms in two windows.
     */
    static final long WINDOW_NANOSECONDS = TimeUnit.SECONDS.toNanos(30);

    private final Ticker mTicker;
    private long mWindowNanoseconds;
    private long mPreviousMinimum;
    private long mMinimum;
    private boolean mHasPrevious;
    private boolean mHasMinimum;

    private TransitDelay(Ticker ticker) {
        mTicker = Objects.requireNonNull(ticker, "ticker");
    }

    /** Creates an estimate for a new link on a ticker, which must not be null. */
    public static TransitDelay of(Ticker ticker) {
        return new TransitDelay(ticker);
    }

    /**
     * Returns the timestamp to send at a ticker time, in microseconds. Never 0, which means that a
     * message has none.
     */
    public static long timestampMicroseconds(long tickerNanoseconds) {
        long microseconds = TimeUnit.NANOSECONDS.toMicros(tickerNanoseconds);
        return microseconds == 0 ? 1 : microseconds;
    }

    /**
     * Records the arrival of a request and returns by how many nanoseconds its transit took longer
     * than the shortest one; 0 for the first request and for one without a timestamp.
     *
     * @param sentMicroseconds timestamp of the sender, 0 if it states none
     */
    public long onArrival(long sentMicroseconds) {
        if (sentMicroseconds == 0) {
            return 0;
        }
        long now = mTicker.nanoTime();
        long difference = TimeUnit.NANOSECONDS.toMicros(now) - sentMicroseconds;
        if (mHasMinimum && now - mWindowNanoseconds >= WINDOW_NANOSECONDS) {
            mPreviousMinimum = mMinimum;
            mHasPrevious = true;
            mHasMinimum = false;
        }
        if (!mHasMinimum) {
            mWindowNanoseconds = now;
            mMinimum = difference;
            mHasMinimum = true;
        }
        mMinimum = Math.min(mMinimum, difference);
        long shortest = mHasPrevious ? Math.min(mMinimum, mPreviousMinimum) : mMinimum;
        return TimeUnit.MICROSECONDS.toNanos(difference - shortest);
    }
}
