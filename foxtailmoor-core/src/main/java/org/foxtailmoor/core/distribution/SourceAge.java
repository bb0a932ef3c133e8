package org.foxtailmoor.core.distribution;

/** Tells how long ago any node read one topic from the source, as far as this node knows. */
final class SourceAge {
    /** Age that is not known, as stated in messages: the largest unsigned integer. */
    static final int UNKNOWN = -1;

    private boolean mKnown;
    private long mReadNanoseconds;

    /** Takes notice of a read by this node. */
    void read(long nowNanoseconds) {
        mKnown = true;
        mReadNanoseconds = nowNanoseconds;
    }

    /** Takes notice of the age that a peer states; the younger one counts. */
    void heard(int ageMilliseconds, long nowNanoseconds) {
        if (ageMilliseconds == UNKNOWN) {
            return;
        }
        long age = Milliseconds.toNanoseconds(Integer.toUnsignedLong(ageMilliseconds));
        long readNanoseconds = nowNanoseconds - age;
        if (!mKnown || readNanoseconds - mReadNanoseconds > 0) {
            mKnown = true;
            mReadNanoseconds = readNanoseconds;
        }
    }

    boolean isKnown() {
        return mKnown;
    }

    /** Returns the age; meaningful only if it is known. */
    long nanoseconds(long nowNanoseconds) {
        return Math.max(0, nowNanoseconds - mReadNanoseconds);
    }

    /** Returns the age for a message, {@link #UNKNOWN} if it is not known. */
    int stated(long nowNanoseconds) {
        if (!mKnown) {
            return UNKNOWN;
        }
        return (int)
                Math.min(
                        Integer.MAX_VALUE, Milliseconds.ofNanoseconds(nanoseconds(nowNanoseconds)));
    }
}
