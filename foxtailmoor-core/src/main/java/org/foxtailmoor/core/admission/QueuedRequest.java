package org.foxtailmoor.core.admission;

/** A queued or running request of an {@link AdmissionController}. Times are ticker times. */
final class QueuedRequest implements Comparable<QueuedRequest> {
    final AdmissionRequest mRequest;
    final ClassQueue mClassQueue;
    final long mDeadlineNanoseconds;
    final long mSequence;
    boolean mRunning;
    boolean mInIsolationQueue;
    long mStartedNanoseconds;
    double mCharged;

    QueuedRequest(AdmissionRequest request, ClassQueue classQueue, long sequence) {
        mRequest = request;
        mClassQueue = classQueue;
        mDeadlineNanoseconds = request.deadlineNanoseconds();
        mSequence = sequence;
    }

    /** Orders by deadline, then by order of arrival. */
    @Override
    public int compareTo(QueuedRequest other) {
        int order = Long.signum(mDeadlineNanoseconds - other.mDeadlineNanoseconds);
        return order != 0 ? order : Long.compare(mSequence, other.mSequence);
    }
}
