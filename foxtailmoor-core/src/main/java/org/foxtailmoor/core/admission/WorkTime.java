package org.foxtailmoor.core.admission;

import java.util.concurrent.TimeUnit;

/**
 * Time that work takes at one target now, in percent of the usual time: what the target states,
 * corrected by measured service times, or these alone if it states nothing. Not thread-safe.
 */
final class WorkTime {
    static final int MIN_PERCENT = 10;
    static final int MAX_PERCENT = 1_000;
    private static final double PERCENT = 100;

    /** Weight of a new statement, so that a change is followed within three answers. */
    private static final double STATED_WEIGHT = 0.5;

    /** Weight of a statement in the usual one, to which an outdated statement returns. */
    private static final double USUAL_STATED_WEIGHT = 0.02;

    /**
     * Time for which a statement holds. Phases of slowness take about 0.6 s, and a target that is
     * avoided because of an old statement would make no new one.
     */
    private static final long STATED_HOLD_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(300);

    private static final double STATED_HALF_LIFE_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(300);

    /** Answers without a statement after which the earlier ones are ignored. */
    private static final int MAX_UNSTATED = 20;

    /**
     * Deviation of measured times from the stated one that is not corrected. The smoothed deviation
     * of a target with a correct statement and lognormal times is below it.
     */
    private static final double TOLERANCE = Math.log(1.5);

    /** Weight of a measured service time, so that ten answers show a change. */
    private static final double MEASURED_WEIGHT = 0.15;

    private final UsualServiceTimes mUsual = new UsualServiceTimes();
    private final RelativeTime mMeasured =
            new RelativeTime(
                    MEASURED_WEIGHT,
                    MEASURED_WEIGHT,
                    TimeUnit.MILLISECONDS.toNanos(500),
                    TimeUnit.MILLISECONDS.toNanos(500));
    private double mStatedPercent;
    private double mUsualStatedPercent;
    private long mStatedNanoseconds;
    private long mStatements;
    private int mUnstated;

    /** Records the percentage that an answer states, 0 if it states none. */
    void onStated(int percent, long nowNanoseconds) {
        if (percent <= 0) {
            mUnstated = Math.min(MAX_UNSTATED, mUnstated + 1);
            return;
        }
        double limited = limit(percent);
        double known = mStatements == 0 ? limited : stated(nowNanoseconds);
        mStatements++;
        mUnstated = 0;
        mStatedPercent = known + (limited - known) * STATED_WEIGHT;
        mUsualStatedPercent +=
                (limited - mUsualStatedPercent) * Math.max(USUAL_STATED_WEIGHT, 1.0 / mStatements);
        mStatedNanoseconds = nowNanoseconds;
    }

    /** Records the service time of a request that the target has run. */
    void onCompleted(String kind, long serviceNanoseconds, long nowNanoseconds) {
        double normalized = serviceNanoseconds * PERCENT / stated(nowNanoseconds);
        mMeasured.add(mUsual.add(kind, normalized, nowNanoseconds), nowNanoseconds);
    }

    /** Returns the time that work takes now in percent of the usual time, 10 to 1000. */
    int percent(long nowNanoseconds) {
        double measured = mMeasured.logarithm(nowNanoseconds);
        double correction = isStated() ? RelativeTime.beyond(measured, TOLERANCE) : measured;
        return (int) Math.round(limit(stated(nowNanoseconds) * Math.exp(correction)));
    }

    private boolean isStated() {
        return mStatements > 0 && mUnstated < MAX_UNSTATED;
    }

    /** Returns the stated percentage, or 100 without a statement. */
    private double stated(long nowNanoseconds) {
        if (!isStated()) {
            return PERCENT;
        }
        double decaying = nowNanoseconds - mStatedNanoseconds - STATED_HOLD_NANOSECONDS;
        if (decaying <= 0) {
            return mStatedPercent;
        }
        double kept = Math.pow(0.5, decaying / STATED_HALF_LIFE_NANOSECONDS);
        return mUsualStatedPercent + (mStatedPercent - mUsualStatedPercent) * kept;
    }

    private static double limit(double percent) {
        return Math.max(MIN_PERCENT, Math.min(MAX_PERCENT, percent));
    }
}
