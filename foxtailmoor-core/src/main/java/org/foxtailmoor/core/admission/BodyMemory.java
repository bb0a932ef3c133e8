package org.foxtailmoor.core.admission;

/**
 * Limits the memory that a node uses for request and answer bodies. Not thread-safe; used only on
 * the data loop.
 */
public final class BodyMemory {
    private final BodyMemory mWhole;
    private final long mLimitBytes;
    private long mReservedBytes;

    private BodyMemory(BodyMemory whole, long limitBytes) {
        mWhole = whole;
        mLimitBytes = limitBytes;
    }

    /**
     * Creates a budget of which nothing is reserved.
     *
     * @param limitBytes maximum number of reserved bytes, at least 0
     * @throws IllegalArgumentException if the limit is negative
     */
    public static BodyMemory of(long limitBytes) {
        if (limitBytes < 0) {
            throw new IllegalArgumentException("limitBytes must be at least 0, is " + limitBytes);
        }
        return new BodyMemory(null, limitBytes);
    }

    /**
     * Creates a budget that takes its memory from this one, up to a part of the limit. What is left
     * of this budget stays available to others, however much the users of the part need.
     *
     * @param ratio part of the limit, from 0 to 1
     */
    public BodyMemory part(double ratio) {
        if (!(ratio >= 0 && ratio <= 1)) {
            throw new IllegalArgumentException("ratio must be from 0 to 1, is " + ratio);
        }
        return new BodyMemory(this, (long) (mLimitBytes * ratio));
    }

    /**
     * Reserves memory if enough is available.
     *
     * @param bytes number of bytes to reserve; a negative number is never reserved
     * @return whether the memory was reserved
     */
    public boolean tryReserve(long bytes) {
        if (bytes < 0 || bytes > mLimitBytes - mReservedBytes) {
            return false;
        }
        if (mWhole != null && !mWhole.tryReserve(bytes)) {
            return false;
        }
        mReservedBytes += bytes;
        return true;
    }

    /**
     * Releases reserved memory.
     *
     * @param bytes number of bytes to release, at least 0
     * @throws IllegalStateException if {@code bytes} is negative or exceeds the reserved memory
     */
    public void release(long bytes) {
        if (bytes < 0 || bytes > mReservedBytes) {
            throw new IllegalStateException(
                    "cannot release " + bytes + " bytes, " + mReservedBytes + " are reserved");
        }
        mReservedBytes -= bytes;
        if (mWhole != null) {
            mWhole.release(bytes);
        }
    }

    /** Returns the maximum number of reserved bytes. */
    public long limitBytes() {
        return mLimitBytes;
    }

    /** Returns the number of reserved bytes. */
    public long reservedBytes() {
        return mReservedBytes;
    }
}
