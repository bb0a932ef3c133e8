package org.foxtailmoor.core.admission;

import java.util.PriorityQueue;

/** Queued requests of one class in deadline order, with the class's share of the slots. */
final class ClassQueue {
    /** Minimum slot time charged for a started request; used until a mean service time is known. */
    private static final long MIN_CHARGE_NANOSECONDS = 1_000;

    final PriorityQueue<QueuedRequest> mQueued = new PriorityQueue<>();
    final ServiceTimeMean mServiceTime = new ServiceTimeMean();
    int mWeight;
    int mQueueLimit;

    /** Slot time used divided by the weight. The class with the lowest value is served next. */
    double mVirtualTime;

    /** Applies the weight and queue limit of the catalogue version that a new request uses. */
    void configure(AdmissionClass admissionClass) {
        mWeight = Math.max(1, admissionClass.weight());
        mQueueLimit = admissionClass.queueLimit();
    }

    /** Charges the expected slot time of a request that starts. */
    void charge(QueuedRequest queued, long nowNanoseconds) {
        long expected = mServiceTime.nanoseconds(nowNanoseconds);
        queued.mCharged = Math.max(MIN_CHARGE_NANOSECONDS, expected);
        mVirtualTime += queued.mCharged / mWeight;
    }

    /** Replaces the charged slot time of a request with the time that it actually used. */
    void settle(QueuedRequest queued, long usedNanoseconds) {
        mVirtualTime += (usedNanoseconds - queued.mCharged) / mWeight;
    }

    /** Returns the number of queued requests that run before a new one with the given deadline. */
    int countAhead(long deadlineNanoseconds) {
        int ahead = 0;
        for (QueuedRequest queued : mQueued) {
            if (queued.mDeadlineNanoseconds - deadlineNanoseconds <= 0) {
                ahead++;
            }
        }
        return ahead;
    }

    /**
     * Returns whether a request started now would miss its deadline, given the mean service time.
     */
    boolean wouldMissDeadline(long deadlineNanoseconds, long nowNanoseconds) {
        long needed = mServiceTime.nanoseconds(nowNanoseconds);
        long remaining = deadlineNanoseconds - nowNanoseconds;
        return remaining <= 0 || remaining < needed;
    }
}
