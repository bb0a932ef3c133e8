package org.foxtailmoor.core.admission;

/**
 * Estimates when waiting requests start, from the expected service times of the requests that run
 * and of those that precede them. Slots become free at times that are spread evenly; assigning the
 * requests to slots by expected end would be too pessimistic, because service times vary.
 */
final class WaitEstimate {
    private final int mLimit;
    private final double mRunningServiceNanoseconds;
    private int mFree;
    private double mWorkNanoseconds;

    /**
     * Creates an estimate without waiting requests.
     *
     * @param limit number of requests that may run at once, at least 1
     * @param running number of running requests
     * @param runningServiceNanoseconds mean expected service time of the running requests
     */
    WaitEstimate(int limit, int running, double runningServiceNanoseconds) {
        mLimit = limit;
        mFree = limit - running;
        mRunningServiceNanoseconds = runningServiceNanoseconds;
        // One request has to end before a slot is free, and each one above the limit before that.
        mWorkNanoseconds = Math.max(0, 1 - mFree) * runningServiceNanoseconds;
    }

    /** Returns the time until a slot is free. */
    long waitNanoseconds() {
        return mFree > 0 ? 0 : (long) (mWorkNanoseconds / mLimit);
    }

    /** Adds a request that precedes further ones. */
    void add(long serviceNanoseconds) {
        if (mFree > 0) {
            mFree--;
            mWorkNanoseconds = mFree == 0 ? mRunningServiceNanoseconds : 0;
        } else {
            mWorkNanoseconds += serviceNanoseconds;
        }
    }
}
