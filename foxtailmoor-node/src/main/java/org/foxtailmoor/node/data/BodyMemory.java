package org.foxtailmoor.node.data;

/**
 * Bounds the bytes of bodies that a node holds at once.
 *
 * <p>Reservations are made and given back on the data loop only; {@link #reservedBytes()} may be
 * read by any thread.
 */
public final class BodyMemory {
    private final long mLimitBytes;
    private volatile long mReservedBytes;

    private BodyMemory(long limitBytes) {
        mLimitBytes = limitBytes;
    }

    /**
     * Creates a bound.
     *
     * @param limitBytes most bytes reserved at once, at least 0
     * @throws IllegalArgumentException if the limit is negative
     */
    public static BodyMemory of(long limitBytes) {
        if (limitBytes < 0) {
            throw new IllegalArgumentException("limitBytes must be at least 0, is " + limitBytes);
        }
        return new BodyMemory(limitBytes);
    }

    /**
     * Reserves bytes if the bound allows it, and returns whether it did.
     *
     * @param bytes at least 0
     */
    public boolean tryReserve(long bytes) {
        long reserved = mReservedBytes + bytes;
        if (reserved > mLimitBytes) {
            return false;
        }
        mReservedBytes = reserved;
        return true;
    }

    /**
     * Gives reserved bytes back.
     *
     * @param bytes at least 0 and at most the bytes reserved
     * @throws IllegalStateException if more is given back than was reserved
     */
    public void giveBack(long bytes) {
        long reserved = mReservedBytes - bytes;
        if (reserved < 0) {
            throw new IllegalStateException("gave back " + -reserved + " bytes too many");
        }
        mReservedBytes = reserved;
    }

    /** Returns the bytes that are reserved now. */
    public long reservedBytes() {
        return mReservedBytes;
    }
}
