package org.foxtailmoor.core.routing;

/** Decides whether and when a failed attempt is followed by another one. */
public interface RetryPolicy {
    /** Value of {@link #nextDelayNanoseconds} that forbids another attempt. */
    long NO_RETRY = -1;

    /** Counts a new request, which adds to the retry budget of its route. */
    void requestStarted(Route route);

    /**
     * Takes one retry from the budget if the policy allows another attempt.
     *
     * @param route route of the request, not null
     * @param attempts attempts made so far, at least 1
     * @param leastDelayNanoseconds shortest delay that the upstream asked for, at least 0
     * @param remainingNanoseconds time until the deadline of the request
     * @return delay until the next attempt, at least 0, or {@link #NO_RETRY}
     */
    long nextDelayNanoseconds(
            Route route, int attempts, long leastDelayNanoseconds, long remainingNanoseconds);
}
