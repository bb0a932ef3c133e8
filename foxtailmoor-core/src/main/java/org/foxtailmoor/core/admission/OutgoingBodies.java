package org.foxtailmoor.core.admission;

import io.netty.util.concurrent.Ticker;
import java.util.ArrayDeque;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

/**
 * Paces the long response bodies that a node sends to other nodes, so that they never fill its
 * outgoing link. Short responses, refusals and pings of all links pass between two chunks instead
 * of behind all bodies. Confined to the data loop.
 *
 * <p>Load pattern: a target with large responses beside a slow link. Without pacing, the responses
 * to short calls wait for seconds behind downloads, their callers give up, and the slots of the
 * calling targets stay occupied.
 */
public final class OutgoingBodies {
    /** Longest body that is sent at once; it takes about as long as a few headers. */
    public static final int SHORT_BODY_BYTES = 8_192;

    /** Part of the link for bodies; the rest is for heads, refusals, pings and configurations. */
    static final double BODY_SHARE = 0.9;

    /** Time that the link needs for one chunk, which is the delay that a body causes to others. */
    static final long CHUNK_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(10);

    private static final int MAX_CHUNK_BYTES = 65_536;
    private static final double BYTES_PER_MEGABIT = 125_000;
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    /** Sends the bodies of one link. */
    public interface Sender {
        /**
         * Sends the next chunk.
         *
         * @param maxBytes maximum length of the chunk
         * @return length of the chunk, or -1 if the sender has none that it can send
         */
        int sendNext(int maxBytes);
    }

    /** Runs a task after a delay. */
    public interface Timer {
        /** Runs a task once, not before the delay has passed. */
        void schedule(Runnable task, long delayNanoseconds);
    }

    /** Response that the target is working on or that is being sent. */
    public final class Reservation {
        private long mBytes;

        private Reservation(long bytes) {
            mBytes = bytes;
            mPendingBytes += bytes;
        }

        /** Replaces the expected size by the actual one. */
        public void resize(long bytes) {
            mPendingBytes += bytes - mBytes;
            mBytes = bytes;
        }

        /** Ends the reservation, because the response was sent or is not sent. */
        public void end() {
            resize(0);
        }
    }

    private final Ticker mTicker;
    private final Timer mTimer;
    private final double mBytesPerNanosecond;
    private final int mChunkBytes;
    private final ArrayDeque<Sender> mWaiting = new ArrayDeque<>();
    private long mPendingBytes;
    private long mFreeNanoseconds;
    private boolean mScheduled;

    private OutgoingBodies(Ticker ticker, double megabitsPerSecond, Timer timer) {
        mTicker = Objects.requireNonNull(ticker, "ticker");
        mTimer = Objects.requireNonNull(timer, "timer");
        mBytesPerNanosecond =
                megabitsPerSecond * BYTES_PER_MEGABIT * BODY_SHARE / NANOSECONDS_PER_SECOND;
        long chunk = (long) (mBytesPerNanosecond * CHUNK_NANOSECONDS);
        mChunkBytes = (int) Math.max(SHORT_BODY_BYTES, Math.min(MAX_CHUNK_BYTES, chunk));
        mFreeNanoseconds = ticker.nanoTime();
    }

    /**
     * Creates an object without bodies.
     *
     * @param ticker clock, not null
     * @param megabitsPerSecond rate of the outgoing link, 0 if bodies need not be paced
     * @param timer runs the next transfer, not null
     * @throws IllegalArgumentException if the rate is negative
     */
    public static OutgoingBodies of(Ticker ticker, double megabitsPerSecond, Timer timer) {
        if (!(megabitsPerSecond >= 0)) {
            throw new IllegalArgumentException("negative rate " + megabitsPerSecond);
        }
        return new OutgoingBodies(ticker, megabitsPerSecond, timer);
    }

    /** Returns whether bodies are paced. */
    public boolean isLimited() {
        return mBytesPerNanosecond > 0;
    }

    /** Records a response that is expected or ready to be sent. */
    public Reservation reserve(long bytes) {
        return new Reservation(bytes);
    }

    /** Returns the time in nanoseconds until a response of a size would be sent, 0 if unlimited. */
    public long expectedNanoseconds(long bytes) {
        return isLimited() ? (long) ((mPendingBytes + bytes) / mBytesPerNanosecond) : 0;
    }

    /** Counts a body that was sent at once. */
    public void onShortBodySent(int bytes) {
        if (isLimited()) {
            occupy(bytes);
        }
    }

    /** Lets a sender send in its turn; it is asked until it has nothing to send. */
    public void enqueue(Sender sender) {
        mWaiting.addLast(sender);
        run();
    }

    /** Removes a sender whose link has closed. */
    public void remove(Sender sender) {
        mWaiting.removeIf(waiting -> waiting == sender);
    }

    private void run() {
        if (mScheduled) {
            return;
        }
        while (!mWaiting.isEmpty()) {
            long wait = mFreeNanoseconds - mTicker.nanoTime();
            // A fast link needs no timer for each chunk.
            if (wait > CHUNK_NANOSECONDS) {
                mScheduled = true;
                mTimer.schedule(this::onTimer, wait);
                return;
            }
            Sender sender = mWaiting.removeFirst();
            int sent = sender.sendNext(mChunkBytes);
            if (sent >= 0) {
                occupy(sent);
                mWaiting.addLast(sender);
            }
        }
    }

    private void onTimer() {
        mScheduled = false;
        run();
    }

    /** Advances the time at which the link is free; unused time before now is not made up for. */
    private void occupy(long bytes) {
        long now = mTicker.nanoTime();
        long start = mFreeNanoseconds - now > 0 ? mFreeNanoseconds : now;
        mFreeNanoseconds = start + (long) (bytes / mBytesPerNanosecond);
    }
}
