package org.foxtailmoor.core.admission;

/** Admitted work with its place in the tables of the controller. Times are ticker times. */
final class Entry implements Comparable<Entry> {
    final Work mWork;
    final ClassQueue mQueue;
    final long mDeadlineNanoseconds;
    final long mSequence;
    boolean mRunning;
    boolean mInSuspectLane;
    long mStartedNanoseconds;
    double mCharged;

    Entry(Work work, ClassQueue queue, long sequence) {
        mWork = work;
        mQueue = queue;
        mDeadlineNanoseconds = work.deadlineNanoseconds();
        mSequence = sequence;
    }

    /** Orders by deadline, then by arrival. */
    @Override
    public int compareTo(Entry other) {
        int order = Long.signum(mDeadlineNanoseconds - other.mDeadlineNanoseconds);
        return order != 0 ? order : Long.compare(mSequence, other.mSequence);
    }
}
