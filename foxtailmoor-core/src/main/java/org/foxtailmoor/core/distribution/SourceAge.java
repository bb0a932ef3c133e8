package org.foxtailmoor.core.distribution;

/**
 * Tracks the time since any node last read one topic from the source, as far as this node knows.
 */
final class SourceAge {
    /** Value for an unknown age in messages: the largest unsigned 32-bit integer. */
    static final int UNKNOWN = -1;

    private boolean mKnown;
    private long mLastReadNanoseconds;

    /** Records a read by this node. */
    void recordRead(long nowNanoseconds) {
        mKnown = true;
        mLastReadNanoseconds = nowNanoseconds;
    }

    /** Merges the age that a peer reports; the lower age is kept. */
    void mergeReported(int ageMilliseconds, long nowNanoseconds) {
        if (ageMilliseconds == UNKNOWN) {
            return;
        }
        long age = Milliseconds.toNanoseconds(Integer.toUnsignedLong(ageMilliseconds));
        long readNanoseconds = nowNanoseconds - age;
        if (!mKnown || readNanoseconds - mLastReadNanoseconds > 0) {
            mKnown = true;
            mLastReadNanoseconds = readNanoseconds;
        }
    }

    boolean isKnown() {
        return mKnown;
    }

    /** Returns the age; only meaningful if {@link #isKnown} returns true. */
    long ageNanoseconds(long nowNanoseconds) {
        return Math.max(0, nowNanoseconds - mLastReadNanoseconds);
    }

    /** Returns the age in milliseconds for a message field, {@link #UNKNOWN} if it is not known. */
    int toMessageField(long nowNanoseconds) {
        if (!mKnown) {
            return UNKNOWN;
        }
        return (int)
                Math.min(
                        Integer.MAX_VALUE,
                        Milliseconds.fromNanoseconds(ageNanoseconds(nowNanoseconds)));
    }
}
