package org.foxtailmoor.core.admission;

import java.util.PriorityQueue;

/** Waiting work of one class, the earliest deadline first, with the class's share of the slots. */
final class ClassQueue {
    /** Service time that is charged while no mean is known, in nanoseconds. */
    private static final long LEAST_CHARGE_NANOSECONDS = 1_000;

    final PriorityQueue<Entry> mWaiting = new PriorityQueue<>();
    final ServiceTimeMean mServiceTime = new ServiceTimeMean();
    int mWeight;
    int mQueueLimit;

    /** Slot time used, divided by the weight; the class with the least runs next. */
    double mVirtualTime;

    /** Takes weight and queue limit from the catalogue version of a new request. */
    void configure(AdmissionClass admissionClass) {
        mWeight = Math.max(1, admissionClass.weight());
        mQueueLimit = admissionClass.queueLimit();
    }

    /** Charges the expected slot time of an entry that starts. */
    void charge(Entry entry, long nowNanoseconds) {
        long expected = mServiceTime.nanoseconds(nowNanoseconds);
        entry.mCharged = Math.max(LEAST_CHARGE_NANOSECONDS, expected);
        mVirtualTime += entry.mCharged / mWeight;
    }

    /** Replaces the expected slot time of an entry by the time that it used. */
    void settle(Entry entry, long usedNanoseconds) {
        mVirtualTime += (usedNanoseconds - entry.mCharged) / mWeight;
    }

    /** Returns the number of waiting entries that run before a new one with a deadline. */
    int countAhead(long deadlineNanoseconds) {
        int ahead = 0;
        for (Entry entry : mWaiting) {
            if (entry.mDeadlineNanoseconds - deadlineNanoseconds <= 0) {
                ahead++;
            }
        }
        return ahead;
    }

    /** Returns whether an entry that started now would miss its deadline by the mean. */
    boolean isTooLate(long deadlineNanoseconds, long nowNanoseconds) {
        long needed = mServiceTime.nanoseconds(nowNanoseconds);
        long remaining = deadlineNanoseconds - nowNanoseconds;
        return remaining <= 0 || remaining < needed;
    }
}
