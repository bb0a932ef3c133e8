package org.foxtailmoor.core.admission;

import java.util.IdentityHashMap;
import java.util.Map;

/** Requests that hold a slot of the target. */
final class RunningRequests {
    /**
     * Request that holds a slot.
     *
     * @param kind kind of the request
     * @param startedNanoseconds ticker time of its start
     * @param running requests that ran then, this one included
     */
    record Started(String kind, long startedNanoseconds, int running) {}

    private final Map<AdmissionRequest, Started> mRequests = new IdentityHashMap<>();
    private final TargetBodies mBodies;

    /** Creates an empty set that counts long bodies. */
    RunningRequests(TargetBodies bodies) {
        mBodies = bodies;
    }

    void add(PrioritizedRequest queued, long nowNanoseconds) {
        int running = mRequests.size() + 1;
        mRequests.put(queued.mRequest, new Started(queued.mKind, nowNanoseconds, running));
        mBodies.onStarted(queued.mRequest.bodyBytes());
    }

    /** Returns the start of a request, or null if it does not run. */
    Started find(AdmissionRequest request) {
        return mRequests.get(request);
    }

    /** Removes a request and returns its start, or null if it does not run. */
    Started remove(AdmissionRequest request) {
        Started started = mRequests.remove(request);
        if (started != null) {
            mBodies.onEnded(request.bodyBytes());
        }
        return started;
    }

    int size() {
        return mRequests.size();
    }

    int countOfKind(String kind) {
        int count = 0;
        for (Started started : mRequests.values()) {
            count += started.kind().equals(kind) ? 1 : 0;
        }
        return count;
    }

    /** Returns the mean of the service times of the kinds that run, 0 if none does. */
    double meanServiceNanoseconds(ServiceTimes times, long nowNanoseconds) {
        double service = 0;
        for (Started started : mRequests.values()) {
            service += times.meanOfKind(started.kind(), nowNanoseconds);
        }
        return mRequests.isEmpty() ? 0 : service / mRequests.size();
    }
}
