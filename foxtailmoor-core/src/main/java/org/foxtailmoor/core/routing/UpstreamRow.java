package org.foxtailmoor.core.routing;

import java.util.concurrent.TimeUnit;
import org.foxtailmoor.core.admission.RelativeTime;

/** Row of the upstream table. Times are ticker times in nanoseconds. */
final class UpstreamRow {
    /** One entry node sees few answers of each target; ten of them show its speed. */
    private static final double DEVIATION_WEIGHT = 0.1;

    /**
     * A target that is avoided for its measured speed is tried again after about this time. It is
     * long, because each entry node tries it.
     */
    private static final long DEVIATION_HOLD_NANOSECONDS = TimeUnit.SECONDS.toNanos(10);

    private static final long DEVIATION_HALF_LIFE_NANOSECONDS = TimeUnit.SECONDS.toNanos(10);

    /**
     * Deviation that is not corrected: about the standard deviation of the smoothed value of a
     * target whose reported work time is right.
     */
    private static final double DEVIATION_TOLERANCE = Math.log(1.15);

    /**
     * Time without a measured service time from which a report of the work time fades to the mean
     * of the service. A wrong report that keeps all requests away would never be corrected.
     */
    private static final long WORK_TIME_HOLD_NANOSECONDS = TimeUnit.SECONDS.toNanos(10);

    private static final double WORK_TIME_HALF_LIFE_NANOSECONDS = TimeUnit.SECONDS.toNanos(5);
    private static final double PERCENT = 100;

    final String mId;
    final long mAddedNanoseconds;
    final boolean mSkipsSlowStart;

    boolean mHasLoad;
    double mReportedLoad;
    int mSlots;
    long mReportedNanoseconds;
    int mOutstanding;
    int mOutstandingAtReport;

    /** Reported load after decay; written by {@link LoadDecaySystem}. */
    double mDecayedLoad;

    /** Fraction of its full traffic that the upstream gets; written by {@link SlowStartSystem}. */
    double mSlowStartFactor;

    int mFailures;
    boolean mEjected;
    long mEjectedUntilNanoseconds;
    boolean mLeaving;
    long mLeavingUntilNanoseconds;
    LinkState mLinkState = LinkState.UNOPENED;

    /** Mean service time of the target, 0 if unknown. */
    long mServiceNanoseconds;

    /** Time that work takes at the target in percent of the usual time, 0 if unknown. */
    int mWorkTimePercent;

    /** Ticker time of the last measured service time, at first the time of the row. */
    long mMeasuredNanoseconds;

    /** Measured service times of this node's requests relative to the expected ones. */
    final RelativeTime mDeviation =
            new RelativeTime(
                    DEVIATION_WEIGHT,
                    1,
                    DEVIATION_HOLD_NANOSECONDS,
                    DEVIATION_HALF_LIFE_NANOSECONDS);

    /** Mean of the service for upstreams without a report; written by {@link LoadDecaySystem}. */
    double mAssumedServiceNanoseconds;

    /** Mean of the service for upstreams without a report; written by {@link LoadDecaySystem}. */
    double mAssumedWorkTimePercent = PERCENT;

    /** Time that a long body took to arrive at the time of the report. */
    long mBodyWaitNanoseconds;

    /** Whether the home reported that its target accepts no connections. */
    boolean mTargetDown;

    long mTargetDownUntilNanoseconds;

    /** Fraction of recent requests that the target refused or failed, 0 to 1. */
    double mFailureShare;

    /** Smoothed round trip time of the link, 0 if unknown. */
    long mRoundTripNanoseconds;

    /** Budget of the link to the upstream's region, null in the own region and without budgets. */
    RegionLinkBudget mRegionLink;

    /** Ticker time at which the warm-up of the target ends. */
    long mWarmUpEndNanoseconds;

    UpstreamRow(String id, int slots, long nowNanoseconds, boolean skipsSlowStart) {
        mId = id;
        mSlots = Math.max(1, slots);
        mAddedNanoseconds = nowNanoseconds;
        mMeasuredNanoseconds = nowNanoseconds;
        mSkipsSlowStart = skipsSlowStart;
        mSlowStartFactor = skipsSlowStart ? 1 : SlowStartSystem.MIN_FACTOR;
    }

    /** Returns whether the target is known to accept no connections. */
    boolean isTargetDown(long nowNanoseconds) {
        return mTargetDown && nowNanoseconds - mTargetDownUntilNanoseconds < 0;
    }

    /** Returns the estimated load, including attempts sent since the last report. */
    double load() {
        double sinceReport = (double) (mOutstanding - mOutstandingAtReport) / mSlots;
        return Math.max(0, mDecayedLoad + sinceReport);
    }

    /** Returns the reported time that work takes relative to the usual time, 1 if as usual. */
    double workTimeRatio(long nowNanoseconds) {
        if (mWorkTimePercent <= 0) {
            return mAssumedWorkTimePercent / PERCENT;
        }
        double old = nowNanoseconds - mMeasuredNanoseconds - WORK_TIME_HOLD_NANOSECONDS;
        double kept = old <= 0 ? 1 : Math.pow(0.5, old / WORK_TIME_HALF_LIFE_NANOSECONDS);
        return (mAssumedWorkTimePercent + (mWorkTimePercent - mAssumedWorkTimePercent) * kept)
                / PERCENT;
    }

    /** Returns the factor by which measured service times correct the reported work time. */
    double measuredCorrection(long nowNanoseconds) {
        double excess =
                RelativeTime.beyond(mDeviation.logarithm(nowNanoseconds), DEVIATION_TOLERANCE);
        return excess == 0 ? 1 : Math.exp(excess);
    }

    /** Returns the load for comparing candidates, which is increased during slow start. */
    double effectiveLoad() {
        return (load() + 1.0 / mSlots) / mSlowStartFactor;
    }
}
