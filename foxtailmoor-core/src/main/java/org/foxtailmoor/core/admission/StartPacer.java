package org.foxtailmoor.core.admission;

/**
 * Decides when the next request may start at a target, beside the number of running requests. Not
 * thread-safe; used only on the data loop.
 */
public interface StartPacer {
    /** Never delays a start. */
    StartPacer NONE =
            new StartPacer() {
                @Override
                public long delayNanoseconds(int ahead) {
                    return 0;
                }

                @Override
                public void onStarted() {}
            };

    /**
     * Returns the time until a request may start.
     *
     * @param ahead number of requests that start before it
     * @return nanoseconds, 0 if it may start now
     */
    long delayNanoseconds(int ahead);

    /** Records the start of a request. */
    void onStarted();

    /** Returns whether a request that waits for its start may start now. */
    default boolean mayStart() {
        return delayNanoseconds(0) == 0;
    }

    /**
     * Returns the number of requests that may start per second while the target is known to bear no
     * more, otherwise positive infinity.
     */
    default double startsPerSecond() {
        return Double.POSITIVE_INFINITY;
    }
}
