package org.foxtailmoor.core.routing;

/**
 * Decides about requests at their entry: the route, the upstream of each attempt, and what follows
 * a failed attempt. Each attempt that {@link #choose} starts ends with one of {@link
 * #afterFailure}, {@link #repeatsAnswer} and {@link #abandoned}.
 */
public interface RequestDecisions {
    /**
     * Routes a request and checks its key and body length.
     *
     * @param snapshot snapshot acquired for the request, not null
     * @param host host that the request names, without port, not null
     * @param method HTTP method, not null
     * @param path request path, with or without query, not null
     * @param keyHeader value of the {@code Idempotency-Key} header, or null without one
     * @param bodyBytes length of the body, at least 0
     * @param callerDeadlineMilliseconds time that the caller allows, 0 if it states none; the
     *     route's deadline applies if it is shorter
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
     *     does not say "not run" if an earlier attempt may have run
     */
    Decision<Upstream> choose(EntryRequest request);

    /**
     * Records a failed attempt and decides what follows.
     *
     * @param request request, not null
     * @param upstream upstream of the attempt, not null
     * @param failure why the attempt failed, not null
     */
    RetryDecision afterFailure(EntryRequest request, Upstream upstream, AttemptFailure failure);

    /**
     * Records that an attempt brought a whole answer.
     *
     * @param request request, not null
     * @param upstream upstream of the attempt, not null
     * @param status HTTP status of the answer
     * @return whether the request is attempted again, because the answer reports a failure that
     *     another upstream may not have; the answer is kept for the case that this fails too
     */
    boolean repeatsAnswer(EntryRequest request, Upstream upstream, int status);

    /** Records that an attempt ended without result because the caller or the deadline ended it. */
    void abandoned(EntryRequest request, Upstream upstream);

    /** Takes note of an answer of a target that goes to the caller, with the length of its body. */
    void answered(EntryRequest request, long answerBytes);

    /** Takes note of a request that ended with a refusal or a failure, whose caller may return. */
    void turnedAway(EntryRequest request);
}
