package org.foxtailmoor.core.admission;

/** A request that waits in a {@link StartQueue}. Times are ticker times. */
final class PrioritizedRequest {
    final AdmissionRequest mRequest;
    final String mKind;
    final long mSequence;

    /** Whether another request probably waits for this one; decided once, on arrival. */
    final boolean mCall;

    /** Whether the request only gets slots that would otherwise be idle. */
    boolean mLate;

    PrioritizedRequest(AdmissionRequest request, long sequence, boolean call) {
        mRequest = request;
        mKind = request.admissionClass().id();
        mSequence = sequence;
        mCall = call;
    }

    int priority() {
        return mRequest.priority();
    }

    /**
     * Returns the time by which the request has to end. A call is useful until its deadline, which
     * is that of the request that waits for it.
     */
    long dueNanoseconds() {
        return mCall ? mRequest.deadlineNanoseconds() : mRequest.objectiveNanoseconds();
    }
}
