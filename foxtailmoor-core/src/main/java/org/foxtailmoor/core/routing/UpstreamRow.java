package org.foxtailmoor.core.routing;

/** Row of the upstream table. Times are ticker times in nanoseconds. */
final class UpstreamRow {
    final String mId;
    final long mAddedNanoseconds;
    final boolean mWarmAtStart;

    boolean mHasLoad;
    double mReportedLoad;
    int mSlots;
    long mReportedNanoseconds;
    int mOutstanding;
    int mOutstandingAtReport;

    /** Reported load after decay; written by the load decay system. */
    double mDecayedLoad;

    /** Share of its full work that the upstream takes; written by the slow start system. */
    double mWarmth;

    int mFailures;
    boolean mAvoided;
    long mAvoidUntilNanoseconds;
    boolean mLeaving;
    long mLeavingUntilNanoseconds;
    LinkState mLinkState = LinkState.UNOPENED;

    /** Mean time that a request spends at the target, 0 while unknown. */
    long mServiceNanoseconds;

    /** Share of recent requests that the target refused or failed, 0 to 1. */
    double mFailureShare;

    /** Smoothed round trip of the link, 0 while unknown. */
    long mRoundTripNanoseconds;

    /** Ticker time until which the target is slow after its start. */
    long mWarmNanoseconds;

    UpstreamRow(String id, int slots, long nowNanoseconds, boolean warmAtStart) {
        mId = id;
        mSlots = Math.max(1, slots);
        mAddedNanoseconds = nowNanoseconds;
        mWarmAtStart = warmAtStart;
        mWarmth = warmAtStart ? 1 : SlowStartSystem.LEAST_WARMTH;
    }

    /** Returns the expected load, with the attempts sent since the last report. */
    double load() {
        double sinceReport = (double) (mOutstanding - mOutstandingAtReport) / mSlots;
        return Math.max(0, mDecayedLoad + sinceReport);
    }

    /** Returns the load by which two candidates are compared; a cold upstream appears fuller. */
    double comparedLoad() {
        return (load() + 1.0 / mSlots) / mWarmth;
    }
}
