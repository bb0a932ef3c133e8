package org.foxtailmoor.core.admission;

import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

/**
 * Queue of requests that must run in isolation, with a barrier that holds back all other requests
 * until the target is idle.
 *
 * <p>While regular requests are queued, isolated requests get at most a fifth of the time: a
 * barrier and the isolated run that follows it are succeeded by a pause four times as long. A
 * barrier that does not drain the target within 1 s, for instance because of a long upload, is
 * abandoned and retried later.
 */
final class IsolationQueue {
    /** Maximum number of queued requests. */
    static final int QUEUE_LIMIT = 16;

    private static final long MAX_BARRIER_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);
    private static final int BARRIER_PAUSE_FACTOR = 4;

    final PriorityQueue<QueuedRequest> mQueued = new PriorityQueue<>();
    private boolean mBarrierActive;
    private long mBarrierStartedNanoseconds;
    private boolean mPaused;
    private long mPausedUntilNanoseconds;
    private QueuedRequest mRunning;

    /** Returns whether an isolated request is running, so that no other request may start. */
    boolean isRunning() {
        return mRunning != null;
    }

    /**
     * Starts or continues the barrier if a request is queued.
     *
     * @param regularQueued whether regular requests are queued
     * @param nowNanoseconds current ticker time
     * @return whether regular requests must not start
     */
    boolean blocksRegularRequests(boolean regularQueued, long nowNanoseconds) {
        if (mQueued.isEmpty()) {
            mBarrierActive = false;
            return false;
        }
        mPaused = mPaused && mPausedUntilNanoseconds - nowNanoseconds > 0;
        if (mPaused && regularQueued) {
            mBarrierActive = false;
            return false;
        }
        if (!mBarrierActive) {
            mBarrierActive = true;
            mBarrierStartedNanoseconds = nowNanoseconds;
        }
        if (nowNanoseconds - mBarrierStartedNanoseconds > MAX_BARRIER_NANOSECONDS) {
            pause(nowNanoseconds);
            return false;
        }
        return true;
    }

    /** Records that an isolated request starts. */
    void started(QueuedRequest queued) {
        mRunning = queued;
    }

    /** Records that a request ended. The end of the isolated request lifts the barrier. */
    void ended(QueuedRequest queued, long nowNanoseconds) {
        if (queued == mRunning) {
            mRunning = null;
            pause(nowNanoseconds);
        }
    }

    private void pause(long nowNanoseconds) {
        mBarrierActive = false;
        mPaused = true;
        mPausedUntilNanoseconds =
                nowNanoseconds
                        + BARRIER_PAUSE_FACTOR * (nowNanoseconds - mBarrierStartedNanoseconds);
    }
}
