package org.foxtailmoor.core.admission;

/** Limits the memory for bodies that a node holds. Belongs to the data loop. */
public final class BodyMemory {
    private final long mLimitBytes;
    private long mReservedBytes;

    private BodyMemory(long limitBytes) {
        mLimitBytes = limitBytes;
    }

    /**
     * Creates an unused budget.
     *
     * @param limitBytes most bytes that may be reserved at once, at least 0
     * @throws IllegalArgumentException if the limit is negative
     */
    public static BodyMemory of(long limitBytes) {
        if (limitBytes < 0) {
            throw new IllegalArgumentException("limitBytes must be at least 0, is " + limitBytes);
        }
        return new BodyMemory(limitBytes);
    }

    /**
     * Reserves memory if the budget has it, and returns whether it did.
     *
     * @param bytes memory to reserve, at least 0
     */
    public boolean tryReserve(long bytes) {
        if (bytes < 0 || bytes > mLimitBytes - mReservedBytes) {
            return false;
        }
        mReservedBytes += bytes;
        return true;
    }

    /**
     * Gives reserved memory back.
     *
     * @param bytes memory reserved earlier, at least 0
     * @throws IllegalStateException if more is given back than was reserved
     */
    public void release(long bytes) {
        if (bytes < 0 || bytes > mReservedBytes) {
            throw new IllegalStateException(
                    "released " + bytes + " of " + mReservedBytes + " reserved bytes");
        }
        mReservedBytes -= bytes;
    }

    /** Returns the reserved memory in bytes. */
    public long reservedBytes() {
        return mReservedBytes;
    }
}
