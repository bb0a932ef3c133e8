package org.foxtailmoor.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Requests that wait for a slot, in the order in which they start: by priority, within a priority
 * calls first, then by the time by which they have to end. Late requests are behind all others. A
 * kind that got too small a share of the slot time is started out of turn.
 */
final class StartQueue {
    private static final Comparator<PrioritizedRequest> ORDER =
            Comparator.<PrioritizedRequest>comparingInt(queued -> queued.mLate ? 1 : 0)
                    .thenComparingInt(PrioritizedRequest::priority)
                    .thenComparingInt(queued -> queued.mCall ? 0 : 1)
                    .thenComparing(StartQueue::compareDue)
                    .thenComparingLong(queued -> queued.mSequence);

    private final KindShares mShares;
    private final TreeSet<PrioritizedRequest> mQueue = new TreeSet<>(ORDER);
    private final Map<AdmissionRequest, PrioritizedRequest> mByRequest = new IdentityHashMap<>();
    private int mLate;

    StartQueue(KindShares shares) {
        mShares = shares;
    }

    void add(PrioritizedRequest queued) {
        mQueue.add(queued);
        mByRequest.put(queued.mRequest, queued);
        mLate += queued.mLate ? 1 : 0;
    }

    void remove(PrioritizedRequest queued) {
        mQueue.remove(queued);
        mByRequest.remove(queued.mRequest);
        mLate -= queued.mLate ? 1 : 0;
    }

    /** Returns the entry of a request, or null if it does not wait. */
    PrioritizedRequest find(AdmissionRequest request) {
        return mByRequest.get(request);
    }

    boolean isEmpty() {
        return mQueue.isEmpty();
    }

    int size() {
        return mQueue.size();
    }

    /** Returns the number of late requests. */
    int late() {
        return mLate;
    }

    /** Returns the number of waiting requests of a kind. */
    int countOfKind(String kind) {
        int count = 0;
        for (PrioritizedRequest queued : mQueue) {
            count += queued.mKind.equals(kind) ? 1 : 0;
        }
        return count;
    }

    /** Returns the waiting requests in their order; later changes do not affect the list. */
    List<PrioritizedRequest> copy() {
        return new ArrayList<>(mQueue);
    }

    /** Returns the waiting requests that precede a request, which need not be in the queue. */
    Iterable<PrioritizedRequest> ahead(PrioritizedRequest request) {
        return mQueue.headSet(request);
    }

    /**
     * Returns the request to start next: the first one, unless a request that is not late is of a
     * kind whose share of the slot time is below its minimum.
     *
     * @param eligible whether a request may start now
     * @return the request, or null if none is eligible
     */
    PrioritizedRequest next(long nowNanoseconds, Predicate<PrioritizedRequest> eligible) {
        PrioritizedRequest first = null;
        PrioritizedRequest chosen = null;
        double lowest = KindShares.MIN_SHARE;
        for (PrioritizedRequest queued : mQueue) {
            if (first != null && (queued.mLate || queued.mKind.equals(first.mKind))) {
                if (queued.mLate) {
                    break;
                }
                continue;
            }
            if (!eligible.test(queued)) {
                continue;
            }
            if (first == null) {
                first = queued;
                chosen = queued;
                continue;
            }
            double share = mShares.workShare(queued.mKind, nowNanoseconds);
            if (share < lowest && mShares.mayOvertake(queued, first)) {
                chosen = queued;
                lowest = share;
            }
        }
        return chosen;
    }

    /** Compares by difference because ticker times may overflow. */
    private static int compareDue(PrioritizedRequest first, PrioritizedRequest second) {
        return Long.signum(first.dueNanoseconds() - second.dueNanoseconds());
    }
}
