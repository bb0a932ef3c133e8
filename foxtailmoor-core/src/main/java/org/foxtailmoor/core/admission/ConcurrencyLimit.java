package org.foxtailmoor.core.admission;

/**
 * Decides how many requests may run at a target at the same time. Not thread-safe; used only on the
 * data loop.
 */
public interface ConcurrencyLimit {
    /**
     * Sets the number of slots that the target states, which is the upper bound of the limit.
     *
     * @param slots slots, at least 1
     */
    void setSlots(int slots);

    /** Returns the number of requests that may run now, at least 1. */
    int limit();

    /**
     * Records the start of a request.
     *
     * @param running running requests, this one included
     */
    default void onStarted(int running) {}

    /** Records the end of a request that the target has run. */
    default void onCompleted(CompletedRun run) {}

    /**
     * Records that the target itself rejected a request without running it.
     *
     * @param running requests that ran when this one started, this one included
     */
    default void onRejected(int running) {}

    /** Returns the limit apart from short trials of other limits, as reported to peers. */
    default int sustainedLimit() {
        return limit();
    }

    /** Returns the time that work takes in percent of the usual time, 0 if not known. */
    default int workTimePercent() {
        return 0;
    }

    /** Records what the target says about its own load. */
    default void onTargetLoad(TargetLoad load) {}

    /** Limit that equals the slots of the target. */
    static ConcurrencyLimit fixed() {
        return new FixedConcurrency();
    }
}
