package org.foxtailmoor.core.admission;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Recent arrivals, refusals and started work of each kind of request at one target. Keeps a less
 * urgent kind from starving, and from being served more often than a more urgent one. Counts halve
 * every two seconds, so that a kind that was refused during an overload is not favoured long after
 * it.
 */
final class KindShares {
    /**
     * Share of the slot time that a kind keeps while requests of other kinds run before it. A tenth
     * lets its callers make progress and takes little from more urgent kinds and calls. Counting
     * starts instead would give a kind with long runs a third of the capacity.
     */
    static final double MIN_SHARE = 0.1;

    /**
     * Difference of the served shares from which a less urgent kind is refused in favour of a more
     * urgent one. Below the permitted five percentage points, because it acts with a delay.
     */
    static final double MAX_INVERSION = 0.03;

    /** Decayed number of arrivals from which the served share of a kind is compared. */
    private static final double MIN_ARRIVALS = 10;

    private static final double HALF_LIFE_NANOSECONDS = TimeUnit.SECONDS.toNanos(2);

    /** Interval of the decay; a count is at most this much out of date. */
    private static final long DECAY_INTERVAL_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(50);

    private static final float LOAD_FACTOR = 0.75f;

    private static final class Counts {
        private int mPriority;
        private double mArrivals;
        private double mWork;
        private double mRefusals;

        private void decay(double factor) {
            mArrivals *= factor;
            mWork *= factor;
            mRefusals *= factor;
        }

        private double refusedShare() {
            return mArrivals == 0 ? 0 : mRefusals / mArrivals;
        }
    }

    private final Map<String, Counts> mKinds =
            new LinkedHashMap<>(ServiceTimes.KIND_LIMIT, LOAD_FACTOR, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Counts> eldest) {
                    return size() > ServiceTimes.KIND_LIMIT;
                }
            };
    private double mWork;
    private long mDecayedNanoseconds;

    void onArrival(AdmissionRequest request, long nowNanoseconds) {
        decay(nowNanoseconds);
        Counts counts = mKinds.computeIfAbsent(request.admissionClass().id(), kind -> new Counts());
        counts.mPriority = request.priority();
        counts.mArrivals++;
    }

    /** Records a start, with the time for which the request will probably hold its slot. */
    void onStarted(String kind, long serviceNanoseconds, long nowNanoseconds) {
        decay(nowNanoseconds);
        Counts counts = mKinds.get(kind);
        if (counts != null) {
            counts.mWork += serviceNanoseconds;
            mWork += serviceNanoseconds;
        }
    }

    /** Records a refusal because of other requests; an idle target would have run the request. */
    void onRefused(String kind, long nowNanoseconds) {
        decay(nowNanoseconds);
        Counts counts = mKinds.get(kind);
        if (counts != null) {
            counts.mRefusals++;
        }
    }

    /** Returns the kind's share of the work started recently, 1 if there was none. */
    double workShare(String kind, long nowNanoseconds) {
        decay(nowNanoseconds);
        Counts counts = mKinds.get(kind);
        return counts == null || mWork < 1 ? 1 : counts.mWork / mWork;
    }

    /** Returns whether a kind is refused and gets less than its minimum share. */
    boolean isStarving(String kind, long nowNanoseconds) {
        return workShare(kind, nowNanoseconds) < MIN_SHARE && refusedShare(kind) > MAX_INVERSION;
    }

    /**
     * Returns whether a request may start before the first one to reach its minimum share: only if
     * its kind is refused more often, so that a rare kind is not favoured.
     */
    boolean mayOvertake(PrioritizedRequest request, PrioritizedRequest first) {
        return refusedShare(request.mKind) > refusedShare(first.mKind);
    }

    /** Returns whether a more urgent kind is refused considerably more often than this one. */
    boolean isServedTooOften(AdmissionRequest request, long nowNanoseconds) {
        decay(nowNanoseconds);
        double limit = refusedShare(request.admissionClass().id()) + MAX_INVERSION;
        for (Counts counts : mKinds.values()) {
            if (counts.mPriority < request.priority()
                    && counts.mArrivals >= MIN_ARRIVALS
                    && counts.refusedShare() > limit) {
                return true;
            }
        }
        return false;
    }

    private double refusedShare(String kind) {
        Counts counts = mKinds.get(kind);
        return counts == null ? 0 : counts.refusedShare();
    }

    private void decay(long nowNanoseconds) {
        long age = nowNanoseconds - mDecayedNanoseconds;
        if (age < DECAY_INTERVAL_NANOSECONDS) {
            return;
        }
        mDecayedNanoseconds = nowNanoseconds;
        double factor = Math.pow(0.5, age / HALF_LIFE_NANOSECONDS);
        mWork *= factor;
        for (Counts counts : mKinds.values()) {
            counts.decay(factor);
        }
    }
}
