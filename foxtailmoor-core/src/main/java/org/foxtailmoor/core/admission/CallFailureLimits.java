package org.foxtailmoor.core.admission;

import io.netty.util.concurrent.Ticker;
import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

/**
 * Limits the concurrency of kinds of request whose runs fail because the calls that their target
 * makes are refused or late. Such a run is wasted work, here and at the called service. Not
 * thread-safe; used only on the data loop.
 *
 * <p>Which run makes which call is not known. A failed run is attributed to a call if one failed at
 * this node's entry shortly before, and each failed call explains one run. A target that fails by
 * itself has more failed runs than that, and its kinds are not limited.
 *
 * <p>A limit is cut by a factor when runs fail, at most once per {@link #MIN_CUT_INTERVAL}, and
 * reaches the number of slots again within {@link #RECOVERY} after the calls have become fast. The
 * called service refuses calls only when their time has run out, so that failures come late. For
 * kinds that are known to make calls, calls that miss their latency objective are an earlier sign.
 * All state is lost with the process.
 */
public final class CallFailureLimits {
    /** Time in which a limit grows from nothing to the slots, in nanoseconds. */
    public static final long RECOVERY = TimeUnit.SECONDS.toNanos(3);

    /** Minimum time between two cuts in nanoseconds: runs admitted before the first must end. */
    static final long MIN_CUT_INTERVAL = TimeUnit.MILLISECONDS.toNanos(200);

    /** Time after a cut in which a limit does not grow. */
    private static final long HOLD_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(300);

    /**
     * Time after a cut in which a limit grows at a fifth of the usual rate. Calls need some 100 ms
     * to show that too many requests are admitted, and a limit that grows fast would swing widely.
     */
    private static final long CAUTIOUS_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(1_000);

    private static final double CAUTIOUS_RATIO = 0.2;

    /** Share of late calls from which limits do not grow and are cut. */
    private static final double MAX_LATE_SHARE = 0.2;

    /** Time for which late calls are attributed to a kind after its runs failed with calls. */
    private static final long KNOWN_NANOSECONDS = TimeUnit.SECONDS.toNanos(10);

    /**
     * Time between a failed call and the end of its run. A target answers at once when its call
     * fails; 50 ms allow for a busy processor.
     */
    private static final long CALL_TO_RUN_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(50);

    /** Share of a kind's runs that may fail with a call before its limit is cut. */
    private static final double MAX_FAILED_SHARE = 0.05;

    /** Number of failed runs from which a limit is cut. With fewer, chance would explain them. */
    private static final double MIN_FAILED_RUNS = 3.5;

    /** Share of a kind's failed runs that failed calls have to explain. */
    private static final double MIN_EXPLAINED_SHARE = 0.85;

    private static final double CUT_FACTOR = 0.6;

    /**
     * Share of the slots that a kind always keeps. Its runs show whether calls succeed again, and
     * if only some targets of the called service lack capacity, most of its calls still succeed.
     */
    private static final double FLOOR_RATIO = 0.4;

    private static final double HALF_LIFE_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);

    private static final double CALL_HALF_LIFE_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(300);

    /** Maximum number of failed calls that wait for the end of their runs. */
    private static final int FAILED_CALL_LIMIT = 256;

    private static final float LOAD_FACTOR = 0.75f;

    /** How a run ended. */
    enum RunResult {
        /** The target answered without a server error. */
        SUCCEEDED,
        /** The target answered with a server error or not at all. */
        FAILED,
        /**
         * The run ended after its deadline. Without a failed call, this shows nothing: the failure
         * of a call that expires at the same time may be recorded later.
         */
        LATE
    }

    /** Receives changes of the limits. */
    public interface Listener {
        /** Ignores all changes. */
        Listener NONE = (kind, limit, slots, failedShare) -> {};

        /**
         * Records that the limit of a kind was cut.
         *
         * @param kind kind of request
         * @param limit requests of the kind that may run or wait now
         * @param slots slots of the target
         * @param failedShare share of the kind's recent runs that failed with a call
         */
        void onCut(String kind, int limit, int slots, double failedShare);
    }

    private static final class Kind {
        private double mRuns;
        private double mFailed;
        private double mExplained;
        private long mDecayedNanoseconds;
        private boolean mLimited;
        private double mLimit;
        private long mGrownNanoseconds;
        private long mCutNanoseconds;
        private long mExplainedNanoseconds;
        private boolean mKnown;

        private void decay(long now) {
            double factor = Math.pow(0.5, (now - mDecayedNanoseconds) / HALF_LIFE_NANOSECONDS);
            mDecayedNanoseconds = now;
            mRuns *= factor;
            mFailed *= factor;
            mExplained *= factor;
        }

        private void grow(int slots, boolean callsLate, long now) {
            long from = Math.max(mGrownNanoseconds, mCutNanoseconds + HOLD_NANOSECONDS);
            if (now - from <= 0) {
                return;
            }
            mGrownNanoseconds = now;
            if (!callsLate) {
                boolean cautious = now - mCutNanoseconds < CAUTIOUS_NANOSECONDS;
                double rate = (double) slots / (RECOVERY - CAUTIOUS_NANOSECONDS);
                mLimit += rate * (now - from) * (cautious ? CAUTIOUS_RATIO : 1);
            }
            mLimited = mLimit < slots;
        }
    }

    private final Ticker mTicker;
    private final ArrayDeque<Long> mFailedCalls = new ArrayDeque<>();
    private final Map<String, Kind> mKinds =
            new LinkedHashMap<>(ServiceTimes.KIND_LIMIT, LOAD_FACTOR, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Kind> eldest) {
                    return size() > ServiceTimes.KIND_LIMIT;
                }
            };
    private Listener mListener = Listener.NONE;
    private int mSlots = 1;
    private double mCalls;
    private double mLateCalls;
    private long mCallsNanoseconds;
    private long mFailedCallCount;
    private long mRefusals;

    private CallFailureLimits(Ticker ticker) {
        mTicker = Objects.requireNonNull(ticker, "ticker");
    }

    /** Creates an instance without limits on a ticker, which must not be null. */
    public static CallFailureLimits of(Ticker ticker) {
        return new CallFailureLimits(ticker);
    }

    /** Sets the listener for changes of the limits, not null. */
    public void setListener(Listener listener) {
        mListener = Objects.requireNonNull(listener, "listener");
    }

    /** Sets the number of slots of the target, at least 1. */
    void setSlots(int slots) {
        mSlots = slots;
    }

    /**
     * Records the end of a request to another service, which entered at this node. It may be a call
     * of this node's target or a request of a client.
     *
     * @param failed whether it was refused or missed its deadline
     * @param late whether it missed its latency objective
     */
    public void onCallEnded(boolean failed, boolean late) {
        long now = mTicker.nanoTime();
        decayCalls(now);
        mCalls++;
        mLateCalls += failed || late ? 1 : 0;
        if (!failed) {
            return;
        }
        mFailedCallCount++;
        mFailedCalls.addLast(now);
        if (mFailedCalls.size() > FAILED_CALL_LIMIT) {
            mFailedCalls.removeFirst();
        }
    }

    /**
     * Records the end of a run.
     *
     * @param kind kind of request, not null
     * @param startedNanoseconds ticker time of its start
     * @param result how it ended, not null
     * @param concurrency running requests of the kind, this one included
     */
    void onRunEnded(String kind, long startedNanoseconds, RunResult result, int concurrency) {
        Kind state = mKinds.get(kind);
        if (state == null) {
            if (result == RunResult.SUCCEEDED) {
                // Most kinds never fail and need no state.
                return;
            }
            state = new Kind();
            state.mDecayedNanoseconds = mTicker.nanoTime();
            mKinds.put(kind, state);
        }
        long now = mTicker.nanoTime();
        state.decay(now);
        state.mRuns++;
        if (result != RunResult.SUCCEEDED) {
            boolean explained = claimFailedCall(startedNanoseconds, now);
            state.mFailed += explained || result == RunResult.FAILED ? 1 : 0;
            if (explained) {
                state.mExplained++;
            }
        }
        boolean caused =
                state.mExplained >= MIN_FAILED_RUNS
                        && state.mExplained > state.mRuns * MAX_FAILED_SHARE
                        && state.mExplained >= state.mFailed * MIN_EXPLAINED_SHARE;
        if (caused) {
            state.mKnown = true;
            state.mExplainedNanoseconds = now;
        }
        state.mKnown = state.mKnown && now - state.mExplainedNanoseconds < KNOWN_NANOSECONDS;
        boolean due = !state.mLimited || now - state.mCutNanoseconds >= MIN_CUT_INTERVAL;
        if (due && (caused || state.mKnown && areCallsLate(now))) {
            cut(kind, state, concurrency, now);
        }
    }

    /** Returns how many requests of a kind may run or wait, the maximum integer if any number. */
    int limit(String kind) {
        Kind state = mKinds.get(kind);
        if (state == null || !state.mLimited) {
            return Integer.MAX_VALUE;
        }
        long now = mTicker.nanoTime();
        state.grow(mSlots, areCallsLate(now), now);
        return state.mLimited ? (int) state.mLimit : Integer.MAX_VALUE;
    }

    /** Records that a request was refused because of the limit of its kind. */
    void onRefused() {
        mRefusals++;
    }

    /** Returns the number of kinds that were limited when their last request arrived. */
    public int limitedKinds() {
        int count = 0;
        for (Kind state : mKinds.values()) {
            count += state.mLimited ? 1 : 0;
        }
        return count;
    }

    /** Returns the number of failed calls since the start. */
    public long failedCalls() {
        return mFailedCallCount;
    }

    /** Returns the number of requests refused because of a limit since the start. */
    public long refusals() {
        return mRefusals;
    }

    private void cut(String kind, Kind state, int concurrency, long now) {
        double current = state.mLimited ? Math.min(concurrency, state.mLimit) : concurrency;
        double floor = Math.ceil(mSlots * FLOOR_RATIO);
        double share = state.mExplained / state.mRuns;
        state.mLimit = Math.max(floor, Math.min(mSlots, current) * CUT_FACTOR);
        state.mLimited = true;
        state.mCutNanoseconds = now;
        state.mGrownNanoseconds = now;
        // The next cut must be justified by runs that end after this one.
        state.mRuns = 0;
        state.mFailed = 0;
        state.mExplained = 0;
        mListener.onCut(kind, (int) state.mLimit, mSlots, share);
    }

    private boolean areCallsLate(long now) {
        decayCalls(now);
        return mLateCalls >= 1 && mLateCalls > mCalls * MAX_LATE_SHARE;
    }

    private void decayCalls(long now) {
        double factor = Math.pow(0.5, (now - mCallsNanoseconds) / CALL_HALF_LIFE_NANOSECONDS);
        mCallsNanoseconds = now;
        mCalls *= factor;
        mLateCalls *= factor;
    }

    /** Uses up the latest failed call that can explain a run that ends now. */
    private boolean claimFailedCall(long startedNanoseconds, long now) {
        while (!mFailedCalls.isEmpty()
                && now - mFailedCalls.peekFirst() > CALL_TO_RUN_NANOSECONDS) {
            mFailedCalls.removeFirst();
        }
        if (mFailedCalls.isEmpty() || mFailedCalls.peekLast() - startedNanoseconds < 0) {
            return false;
        }
        mFailedCalls.removeLast();
        return true;
    }
}
