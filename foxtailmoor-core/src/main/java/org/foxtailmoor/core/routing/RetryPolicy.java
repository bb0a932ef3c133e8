package org.foxtailmoor.core.routing;

/** Decides whether and when a failed attempt is retried. */
public interface RetryPolicy {
    /** Return value of {@link #nextDelayNanoseconds} if no further attempt is allowed. */
    long NO_RETRY = -1;

    /** Forgets the budgets of routes that the snapshot does not contain. */
    void retain(RoutingSnapshot snapshot);

    /** Records a new request, which increases the retry budget of its route. */
    void requestStarted(Route route);

    /**
     * Takes one retry from the budget if the policy allows another attempt.
     *
     * @param route route of the request, not null
     * @param attempts attempts made so far, at least 1
     * @param minDelayNanoseconds minimum delay that the upstream asks for, at least 0
     * @param remainingNanoseconds time until the deadline of the request
     * @return delay until the next attempt, at least 0, or {@link #NO_RETRY}
     */
    long nextDelayNanoseconds(
            Route route, int attempts, long minDelayNanoseconds, long remainingNanoseconds);
}
