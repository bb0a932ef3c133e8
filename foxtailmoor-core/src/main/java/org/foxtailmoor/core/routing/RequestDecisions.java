package org.foxtailmoor.core.routing;

/**
 * Routes requests at the entry node: selects the route, the upstream of each attempt, and the
 * action after a failed attempt. Every attempt started by {@link #choose} must end with exactly one
 * call of {@link #afterFailure}, {@link #afterResponse} or {@link #onAbandoned}.
 */
public interface RequestDecisions {
    /**
     * Routes a request and validates its key and body size.
     *
     * @param snapshot snapshot acquired for the request, not null
     * @param host requested host without port, not null
     * @param method HTTP method, not null
     * @param path request path with or without query, not null
     * @param keyHeader value of the {@code Idempotency-Key} header, or null if absent
     * @param bodyBytes size of the body, at least 0
     * @param callerDeadlineMilliseconds timeout of the caller, 0 if not stated; the route's
     *     deadline applies if it is shorter
     * @return the request, or NO_ROUTE, KEY_REQUIRED, KEY_INVALID or BODY_TOO_LARGE
     */
    Decision<EntryRequest> begin(
            RoutingSnapshot snapshot,
            String host,
            String method,
            String path,
            String keyHeader,
            long bodyBytes,
            long callerDeadlineMilliseconds);

    /**
     * Selects the upstream of the next attempt and counts the attempt.
     *
     * @param request request, not null
     * @return the upstream; or NO_UPSTREAM, HOME_UNAVAILABLE, DEADLINE_BEFORE_RUN, or a kind that
     *     does not state "not run" if an earlier attempt may have run
     */
    Decision<Upstream> choose(EntryRequest request);

    /**
     * Records a failed attempt and decides whether to retry.
     *
     * @param request request, not null
     * @param upstream upstream of the attempt, not null
     * @param failure why the attempt failed, not null
     */
    RetryDecision afterFailure(EntryRequest request, Upstream upstream, AttemptFailure failure);

    /**
     * Records that an attempt received a complete response and decides whether to retry.
     *
     * @param request request, not null
     * @param upstream upstream of the attempt, not null
     * @param status HTTP status of the response
     * @return whether to retry because the response reports a failure that another upstream may not
     *     have; the caller must keep the response in case the retry fails too
     */
    boolean afterResponse(EntryRequest request, Upstream upstream, int status);

    /**
     * Records how long a request ran at its target; called before {@link #afterResponse}.
     *
     * @param nanoseconds time at the target without wait and transfer, above 0
     */
    default void onServiceTime(EntryRequest request, Upstream upstream, long nanoseconds) {}

    /** Records that an attempt was cancelled by the caller or the deadline. */
    void onAbandoned(EntryRequest request, Upstream upstream);

    /** Records the body size of a target's response that is forwarded to the caller. */
    void onResponseForwarded(EntryRequest request, long responseBytes);

    /** Records a request that was refused or failed and that its caller may retry. */
    void onRejected(EntryRequest request);
}
