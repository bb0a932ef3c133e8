package org.foxtailmoor.core.admission;

import org.foxtailmoor.core.routing.Balancer;

/**
 * Limits the bytes of the long request bodies that run at one target at the same time, because a
 * target crashes if the requests that it holds exceed its memory. Bodies of up to {@link
 * Balancer#LONG_BODY_BYTES} are not counted and never wait. A body above the limit runs while no
 * other long body does. Not thread-safe; used only on the data loop.
 */
public final class TargetBodies {
    private final long mLimitBytes;
    private long mRunningBytes;

    private TargetBodies(long limitBytes) {
        mLimitBytes = limitBytes;
    }

    /**
     * Creates a limit at which no body runs.
     *
     * @param limitBytes maximum number of bytes, at least 1
     * @throws IllegalArgumentException if the limit is less than 1
     */
    public static TargetBodies of(long limitBytes) {
        if (limitBytes < 1) {
            throw new IllegalArgumentException("limitBytes must be at least 1, is " + limitBytes);
        }
        return new TargetBodies(limitBytes);
    }

    /** Creates a limit that is never reached. */
    static TargetBodies unlimited() {
        return new TargetBodies(Long.MAX_VALUE);
    }

    /** Returns whether a body is long enough to count. */
    static boolean isCounted(int bytes) {
        return bytes > Balancer.LONG_BODY_BYTES;
    }

    /** Returns whether a request with a body of this length may start now. */
    public boolean mayStart(int bytes) {
        return !isCounted(bytes) || mRunningBytes == 0 || bytes <= mLimitBytes - mRunningBytes;
    }

    /** Records the start of a request with a body of this length. */
    public void onStarted(int bytes) {
        mRunningBytes += isCounted(bytes) ? bytes : 0;
    }

    /** Records the end of a started request with a body of this length. */
    public void onEnded(int bytes) {
        mRunningBytes -= isCounted(bytes) ? bytes : 0;
    }

    /** Returns the bytes of the long bodies that run. */
    public long runningBytes() {
        return mRunningBytes;
    }
}
