package org.foxtailmoor.core.admission;

import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

/**
 * Waiting work that must run without other work at the target, and the barrier that empties the
 * target for it.
 *
 * <p>While ordinary work waits, suspects get at most a fifth of the time: after a barrier and the
 * run behind it, no barrier starts for four times as long. A barrier that does not empty the target
 * within 1 s, for instance because of a long upload, is given up and tried again later.
 */
final class SuspectLane {
    /** Suspects that may wait. */
    static final int QUEUE_LIMIT = 16;

    private static final long LONGEST_BARRIER_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);
    private static final int PAUSE_FACTOR = 4;

    final PriorityQueue<Entry> mWaiting = new PriorityQueue<>();
    private boolean mBarrier;
    private long mBarrierNanoseconds;
    private boolean mPaused;
    private long mPausedUntilNanoseconds;
    private Entry mRunning;

    /** Returns whether a suspect runs now, so that nothing else may start. */
    boolean isRunning() {
        return mRunning != null;
    }

    /** Starts or continues the barrier, and returns whether it holds back ordinary work. */
    boolean holdsBack(boolean ordinaryWaits, long nowNanoseconds) {
        if (mWaiting.isEmpty()) {
            mBarrier = false;
            return false;
        }
        mPaused = mPaused && mPausedUntilNanoseconds - nowNanoseconds > 0;
        if (mPaused && ordinaryWaits) {
            mBarrier = false;
            return false;
        }
        if (!mBarrier) {
            mBarrier = true;
            mBarrierNanoseconds = nowNanoseconds;
        }
        if (nowNanoseconds - mBarrierNanoseconds > LONGEST_BARRIER_NANOSECONDS) {
            pause(nowNanoseconds);
            return false;
        }
        return true;
    }

    /** Records that a suspect starts alone. */
    void started(Entry entry) {
        mRunning = entry;
    }

    /** Records that an entry ended; a suspect's end lifts the barrier. */
    void ended(Entry entry, long nowNanoseconds) {
        if (entry == mRunning) {
            mRunning = null;
            pause(nowNanoseconds);
        }
    }

    private void pause(long nowNanoseconds) {
        mBarrier = false;
        mPaused = true;
        mPausedUntilNanoseconds =
                nowNanoseconds + PAUSE_FACTOR * (nowNanoseconds - mBarrierNanoseconds);
    }
}
