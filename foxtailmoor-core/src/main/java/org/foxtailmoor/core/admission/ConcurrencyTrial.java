package org.foxtailmoor.core.admission;

/**
 * Compares two limits of concurrency at a busy target by using them in turns. Phases of slowness of
 * the target affect both, while a comparison of quiet with busy times would blame the concurrency
 * for them. Decides by a sequential test as soon as the difference of the service times is clear.
 * Not thread-safe.
 */
final class ConcurrencyTrial {
    /** Result of a trial so far. */
    enum Verdict {
        OPEN,
        /** Service times grow about as the concurrency does, so that more of it gains nothing. */
        LOWER_SUFFICES,
        /** The higher concurrency raises the throughput. */
        HIGHER_GAINS
    }

    /** Log-likelihood ratio for the lower limit: an error of about 1% loses capacity. */
    private static final double LOWER_EVIDENCE = 6;

    /** Log-likelihood ratio for the higher limit: an error of 5% is found by the next trial. */
    private static final double HIGHER_EVIDENCE = -3;

    /** Runs that overlap the other turn reduce the observed growth of the service times. */
    private static final double OBSERVED_GROWTH_RATIO = 0.7;

    /**
     * Turns before a decision; two of each limit, so that one phase of slowness decides nothing.
     */
    private static final int MIN_TURNS = 4;

    /** Turns before a decision on usual evidence; before, the evidence must be stronger. */
    private static final int USUAL_TURNS = 6;

    private static final double EARLY_EVIDENCE_FACTOR = 1.5;

    /** Completions before a decision, per limit. */
    private static final int MIN_RUNS = 6;

    /** Completions of both limits together after which an undecided trial ends. */
    private static final int MAX_RUNS = 400;

    /** Length of a turn in service times; runs that overlap two turns blur the comparison. */
    private static final int TURN_SERVICE_TIMES = 3;

    /** Minimum completions of one turn. */
    private static final int MIN_TURN_RUNS = 8;

    /** Assumed variance of relative times, with the weight of this number of runs. */
    private static final double ASSUMED_VARIANCE = 0.36;

    private static final int ASSUMED_RUNS = 6;

    /** Logarithms of relative service times at one limit. */
    private static final class Sample {
        private int mCount;
        private double mSum;
        private double mSquares;

        void add(double logarithm) {
            mCount++;
            mSum += logarithm;
            mSquares += logarithm * logarithm;
        }

        double mean() {
            return mSum / mCount;
        }

        double squaredDeviations() {
            return mSquares - mSum * mSum / mCount;
        }
    }

    private final int mLower;
    private final int mHigher;
    private final long mStartNanoseconds;
    private final Sample mLowerRuns = new Sample();
    private final Sample mHigherRuns = new Sample();
    private boolean mHigherTurn;
    private int mTurns;
    private int mTurnRuns;
    private int mIdleRuns;

    /**
     * Starts a trial.
     *
     * @param lower lower limit, at least 1
     * @param higher higher limit, above the lower one
     * @param higherFirst which limit is used first
     * @param startNanoseconds ticker time of the start
     */
    ConcurrencyTrial(int lower, int higher, boolean higherFirst, long startNanoseconds) {
        mLower = lower;
        mHigher = higher;
        mHigherTurn = higherFirst;
        mStartNanoseconds = startNanoseconds;
    }

    int lower() {
        return mLower;
    }

    int higher() {
        return mHigher;
    }

    /** Returns the limit to use now. */
    int limit() {
        return mHigherTurn ? mHigher : mLower;
    }

    /**
     * Adds a run.
     *
     * @param run run that has ended
     * @param logarithm logarithm of its relative service time
     * @param nowNanoseconds ticker time of its end
     */
    void add(CompletedRun run, double logarithm, long nowNanoseconds) {
        mIdleRuns = run.waiting() > 0 ? 0 : mIdleRuns + 1;
        if (nowNanoseconds - run.serviceNanoseconds() - mStartNanoseconds >= 0) {
            if (run.running() == mLower) {
                mLowerRuns.add(logarithm);
            } else if (run.running() == mHigher) {
                mHigherRuns.add(logarithm);
            }
        }
        mTurnRuns++;
        if (mTurnRuns >= Math.max(MIN_TURN_RUNS, TURN_SERVICE_TIMES * limit())) {
            mHigherTurn = !mHigherTurn;
            mTurnRuns = 0;
            mTurns++;
        }
    }

    /** Returns whether the target is no longer busy, so that the limits make no difference. */
    boolean isIdle() {
        return mIdleRuns >= Math.max(MIN_TURN_RUNS, mHigher);
    }

    /** Returns the result. A trial that takes too long favours the higher limit. */
    Verdict verdict() {
        int runs = mLowerRuns.mCount + mHigherRuns.mCount;
        boolean enough =
                mTurns >= MIN_TURNS
                        && mLowerRuns.mCount >= MIN_RUNS
                        && mHigherRuns.mCount >= MIN_RUNS;
        if (!enough) {
            return Verdict.OPEN;
        }
        double variance =
                (mLowerRuns.squaredDeviations()
                                + mHigherRuns.squaredDeviations()
                                + ASSUMED_VARIANCE * ASSUMED_RUNS)
                        / (runs - 2 + ASSUMED_RUNS);
        double ofMeans = variance * (1.0 / mLowerRuns.mCount + 1.0 / mHigherRuns.mCount);
        double growth = mHigherRuns.mean() - mLowerRuns.mean();
        double expected = OBSERVED_GROWTH_RATIO * Math.log((double) mHigher / mLower);
        double evidence = expected * (growth - expected / 2) / ofMeans;
        double factor = mTurns < USUAL_TURNS ? EARLY_EVIDENCE_FACTOR : 1;
        if (evidence >= LOWER_EVIDENCE * factor) {
            return Verdict.LOWER_SUFFICES;
        }
        return evidence <= HIGHER_EVIDENCE * factor || runs >= MAX_RUNS
                ? Verdict.HIGHER_GAINS
                : Verdict.OPEN;
    }
}
