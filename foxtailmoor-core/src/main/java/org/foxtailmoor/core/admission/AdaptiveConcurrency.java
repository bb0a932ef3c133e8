package org.foxtailmoor.core.admission;

import io.netty.util.concurrent.Ticker;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

/**
 * Learns how many requests a target runs well at once. The limit is the number of slots until a
 * {@link ConcurrencyTrial} shows that fewer running requests give the same throughput; further
 * trials raise it again. Trials take place only while requests wait, because only then the limit
 * matters, and become rarer while they change nothing, because half of their time uses another
 * limit than the best known one.
 *
 * <p>Service times are compared between the limits of one trial, not with a fixed value, and not
 * divided by the work time that the target states: a target that slows down under concurrency may
 * state that itself. So neither requests that are slow by nature nor a misleading statement change
 * the limit.
 *
 * <p>Rejections by the target set a second bound, one below the concurrency at which they occurred,
 * which grows by one after as many completions at that concurrency as it allows at once.
 */
public final class AdaptiveConcurrency implements ConcurrencyLimit {
    /** Receives changes of the limit. */
    @FunctionalInterface
    public interface Listener {
        /**
         * Called when the limit has changed by more than one since the last call, at most once a
         * second.
         */
        void onLimitChanged(int before, int after);
    }

    /** Minimum time between two trials in the same direction. */
    private static final long MIN_PAUSE_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);

    /**
     * Minimum time between two trials in mean service times. A trial takes 10 to 20 of them, of
     * which about a quarter of the throughput is lost if the lower limit is worse.
     */
    private static final int MIN_PAUSE_SERVICE_TIMES = 32;

    /** The pause grows with each unsuccessful trial to lower the limit, up to this factor. */
    private static final int MAX_LOWER_PAUSE_FACTOR = 64;

    private static final int LOWER_PAUSE_GROWTH = 8;
    private static final int FIRST_LOWER_PAUSE_FACTOR = 2;

    /** As above for trials that raise the limit or that elevated service times cause. */
    private static final int MIN_SHORT_PAUSE_SERVICE_TIMES = 8;

    private static final int MAX_SUSPECTED_PAUSE_FACTOR = 16;

    /** The pause doubles with each unsuccessful trial to raise the limit, up to this factor. */
    private static final int MAX_RAISE_PAUSE_FACTOR = 8;

    /**
     * Relative service time of busy runs over the last second, as a logarithm, after which the
     * pause does not grow. A single phase of slowness does not reach it.
     */
    private static final double SUSPICIOUS_ELEVATION = Math.log(1.5);

    private static final double ELEVATION_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(1_500);

    /**
     * Runs at half the limit or less after which only elevated service times cause trials: they
     * show how long requests take without concurrency.
     */
    private static final int ENOUGH_QUIET_RUNS = 50;

    private static final double QUIET_WEIGHT = 0.02;

    /** Larger deviations of a service time from the usual one count as this one. */
    private static final double MAX_DEVIATION = Math.log(4);

    /** Weight of a run in the elevation if there are few per second. */
    private static final double MAX_ELEVATION_WEIGHT = 0.05;

    /** Time constant of the usual times: an elevation remains visible until a trial is due. */
    private static final long USUAL_NANOSECONDS = TimeUnit.SECONDS.toNanos(20);

    private static final double MEAN_SERVICE_WEIGHT = 0.05;
    private static final long REPORT_INTERVAL_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);

    private final Ticker mTicker;
    private final Listener mListener;
    private final UsualServiceTimes mUsual = new UsualServiceTimes(USUAL_NANOSECONDS);
    private final WorkTime mWorkTime = new WorkTime();
    private int mSlots = 1;
    private int mLearned = 1;
    private int mRejectionBound = 1;
    private int mRunsWithoutRejection;
    private ConcurrencyTrial mTrial;
    private double mMeanServiceNanoseconds;
    private double mElevation;
    private long mElevationNanoseconds;
    private int mQuietRuns;
    private double mQuietLevel;
    private int mLowerPauseFactor = FIRST_LOWER_PAUSE_FACTOR;
    private int mSuspectedPauseFactor = 1;
    private int mRaisePauseFactor = 1;
    private long mLowerTrialNanoseconds;
    private long mRaiseTrialNanoseconds;
    private int mReported;
    private long mReportedNanoseconds;

    private AdaptiveConcurrency(Ticker ticker, Listener listener) {
        mTicker = Objects.requireNonNull(ticker, "ticker");
        mListener = Objects.requireNonNull(listener, "listener");
        long now = ticker.nanoTime();
        mLowerTrialNanoseconds = now;
        mRaiseTrialNanoseconds = now;
        mElevationNanoseconds = now;
        mReportedNanoseconds = now - REPORT_INTERVAL_NANOSECONDS;
    }

    /**
     * Creates a limit that equals the slots until something else is learnt.
     *
     * @param ticker clock, not null
     * @param listener receives changes, not null
     */
    public static AdaptiveConcurrency of(Ticker ticker, Listener listener) {
        return new AdaptiveConcurrency(ticker, listener);
    }

    @Override
    public void setSlots(int slots) {
        if (slots == mSlots) {
            return;
        }
        mTrial = null;
        mLearned = mLearned == mSlots ? slots : Math.min(mLearned, slots);
        mRejectionBound = mRejectionBound == mSlots ? slots : Math.min(mRejectionBound, slots);
        mSlots = slots;
        mReported = sustainedLimit();
    }

    @Override
    public int limit() {
        return mTrial == null ? sustainedLimit() : Math.min(mTrial.limit(), mRejectionBound);
    }

    @Override
    public int sustainedLimit() {
        return Math.min(mLearned, mRejectionBound);
    }

    @Override
    public int workTimePercent() {
        return mWorkTime.percent(mTicker.nanoTime());
    }

    @Override
    public void onTargetLoad(TargetLoad load) {
        mWorkTime.onStated(load.workTimePercent(), mTicker.nanoTime());
    }

    @Override
    public void onRejected(int running) {
        mRejectionBound = Math.max(1, Math.min(mRejectionBound, running - 1));
        mRunsWithoutRejection = 0;
        if (mTrial != null && mTrial.higher() > mRejectionBound) {
            mTrial = null;
        }
        report(mTicker.nanoTime());
    }

    @Override
    public void onCompleted(CompletedRun run) {
        if (run.failed()) {
            return;
        }
        long now = mTicker.nanoTime();
        long service = run.serviceNanoseconds();
        mWorkTime.onCompleted(run.kind(), service, now);
        double deviation = mUsual.add(run.kind(), service, now);
        double logarithm = Math.max(-MAX_DEVIATION, Math.min(MAX_DEVIATION, deviation));
        mMeanServiceNanoseconds +=
                (service - mMeanServiceNanoseconds)
                        * (mMeanServiceNanoseconds == 0 ? 1 : MEAN_SERVICE_WEIGHT);
        if (run.running() >= mLearned) {
            double passed = (now - mElevationNanoseconds) / ELEVATION_NANOSECONDS;
            double weight = Math.min(MAX_ELEVATION_WEIGHT, 1 - Math.exp(-passed));
            mElevation += (logarithm - mElevation) * weight;
            mElevationNanoseconds = now;
        } else if (run.running() <= mLearned / 2) {
            mQuietRuns = Math.min(ENOUGH_QUIET_RUNS, mQuietRuns + 1);
            mQuietLevel += (logarithm - mQuietLevel) * Math.max(QUIET_WEIGHT, 1.0 / mQuietRuns);
        }
        if (run.running() >= mRejectionBound
                && mRejectionBound < mSlots
                && ++mRunsWithoutRejection >= mRejectionBound) {
            mRejectionBound++;
            mRunsWithoutRejection = 0;
        }
        if (mTrial != null) {
            mTrial.add(run, logarithm, now);
            applyVerdict(now);
        } else if (run.waiting() > 0) {
            startTrialIfDue(now);
        }
        report(now);
    }

    private void applyVerdict(long now) {
        ConcurrencyTrial.Verdict verdict = mTrial.verdict();
        boolean raises = mTrial.higher() > mLearned;
        if (verdict == ConcurrencyTrial.Verdict.OPEN) {
            if (mTrial.isIdle()) {
                endTrial(raises, now);
            }
            return;
        }
        boolean changes = raises == (verdict == ConcurrencyTrial.Verdict.HIGHER_GAINS);
        if (changes) {
            mLearned = raises ? mTrial.higher() : mTrial.lower();
            mLowerPauseFactor = FIRST_LOWER_PAUSE_FACTOR;
            mSuspectedPauseFactor = 1;
            mRaisePauseFactor = 1;
        } else if (raises) {
            mRaisePauseFactor = Math.min(MAX_RAISE_PAUSE_FACTOR, mRaisePauseFactor * 2);
        } else {
            mSuspectedPauseFactor = Math.min(MAX_SUSPECTED_PAUSE_FACTOR, mSuspectedPauseFactor * 2);
            mLowerPauseFactor =
                    Math.min(MAX_LOWER_PAUSE_FACTOR, mLowerPauseFactor * LOWER_PAUSE_GROWTH);
        }
        endTrial(raises, now);
        if (changes) {
            // The next step in the same direction may be due at once; the opposite one is not.
            long past = now - pauseNanoseconds(FIRST_LOWER_PAUSE_FACTOR);
            mLowerTrialNanoseconds = raises ? now : past;
            mRaiseTrialNanoseconds = raises ? past : now;
        }
    }

    private void endTrial(boolean raises, long now) {
        mTrial = null;
        if (raises) {
            mRaiseTrialNanoseconds = now;
        } else {
            mLowerTrialNanoseconds = now;
        }
    }

    private void startTrialIfDue(long now) {
        int possible = Math.min(mSlots, mRejectionBound);
        if (mLearned < possible && now - mRaiseTrialNanoseconds >= raisePauseNanoseconds()) {
            int higher = Math.min(possible, 2 * mLearned);
            mTrial = new ConcurrencyTrial(mLearned, higher, true, now);
            return;
        }
        if (mLearned > 1 && mLearned <= possible && isLowerTrialDue(now)) {
            mTrial = new ConcurrencyTrial((mLearned + 1) / 2, mLearned, false, now);
        }
    }

    private boolean isLowerTrialDue(long now) {
        long passed = now - mLowerTrialNanoseconds;
        boolean knowsQuiet = mQuietRuns >= ENOUGH_QUIET_RUNS;
        if (!knowsQuiet && passed >= pauseNanoseconds(mLowerPauseFactor)) {
            return true;
        }
        double elevation = mElevation - (knowsQuiet ? Math.min(0, mQuietLevel) : 0);
        if (elevation < SUSPICIOUS_ELEVATION) {
            return false;
        }
        long pause = pauseNanoseconds(1, MIN_SHORT_PAUSE_SERVICE_TIMES);
        if (passed >= pause * MAX_SUSPECTED_PAUSE_FACTOR) {
            mSuspectedPauseFactor = 1;
        }
        return passed >= pause * mSuspectedPauseFactor;
    }

    private long raisePauseNanoseconds() {
        return pauseNanoseconds(mRaisePauseFactor, MIN_SHORT_PAUSE_SERVICE_TIMES);
    }

    private long pauseNanoseconds(int factor) {
        return pauseNanoseconds(factor, MIN_PAUSE_SERVICE_TIMES);
    }

    private long pauseNanoseconds(int factor, int serviceTimes) {
        return factor
                * Math.max(MIN_PAUSE_NANOSECONDS, (long) (mMeanServiceNanoseconds * serviceTimes));
    }

    private void report(long now) {
        int limit = sustainedLimit();
        boolean due = now - mReportedNanoseconds >= REPORT_INTERVAL_NANOSECONDS;
        if (Math.abs(limit - mReported) > 1 && due) {
            mListener.onLimitChanged(mReported, limit);
            mReported = limit;
            mReportedNanoseconds = now;
        }
    }
}
