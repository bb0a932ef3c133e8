package org.foxtailmoor.core.routing;

import java.util.Objects;

/**
 * Decides about requests at their entry: the route, the upstream of each attempt, and what follows
 * a failed attempt. Belongs to the data loop.
 *
 * <pre>{@code
 * Decision<EntryRequest> begun = decisions.begin(snapshot, "GET", "/a", null, 0, 0);
 * Decision<Upstream> upstream = decisions.choose(begun.value());
 * RetryDecision next = decisions.afterFailure(begun.value(), upstream.value(), failure);
 * }</pre>
 */
public final class EntryDecisions {
    private final EpochClock mClock;
    private final UpstreamTable mUpstreams;
    private final Balancer mBalancer;
    private final RetryPolicy mRetryPolicy;

    private EntryDecisions(
            EpochClock clock, UpstreamTable upstreams, Balancer balancer, RetryPolicy policy) {
        mClock = Objects.requireNonNull(clock, "clock");
        mUpstreams = Objects.requireNonNull(upstreams, "upstreams");
        mBalancer = Objects.requireNonNull(balancer, "balancer");
        mRetryPolicy = Objects.requireNonNull(policy, "policy");
    }

    /** Creates the decisions of one entry; no argument may be null. */
    public static EntryDecisions of(
            EpochClock clock, UpstreamTable upstreams, Balancer balancer, RetryPolicy policy) {
        return new EntryDecisions(clock, upstreams, balancer, policy);
    }

    /**
     * Routes a request and checks its key and body length.
     *
     * @param snapshot snapshot acquired for the request, not null
     * @param method HTTP method, not null
     * @param path request path, with or without query, not null
     * @param keyHeader value of the {@code Idempotency-Key} header, or null without one
     * @param bodyBytes length of the body, at least 0
     * @param callerDeadlineMilliseconds time that the caller allows, 0 if it states none; the
     *     route's deadline applies if it is shorter
     * @return the request, or NO_ROUTE, KEY_REQUIRED, KEY_INVALID or BODY_TOO_LARGE
     */
    public Decision<EntryRequest> begin(
            RoutingSnapshot snapshot,
            String method,
            String path,
            String keyHeader,
            long bodyBytes,
            long callerDeadlineMilliseconds) {
        throw new UnsupportedOperationException();
    }

    /**
     * Selects the upstream of the next attempt and counts the attempt. Each attempt ends with
     * {@link #afterFailure} or {@link #succeeded}.
     *
     * @param request request, not null
     * @return the balancer's choice, or the home of the request's key; or NO_UPSTREAM,
     *     HOME_UNAVAILABLE, DEADLINE_BEFORE_RUN, or a kind that does not say "not run" if an
     *     earlier attempt may have run
     */
    public Decision<Upstream> choose(EntryRequest request) {
        throw new UnsupportedOperationException();
    }

    /**
     * Records a failed attempt and decides what follows.
     *
     * @param request request, not null
     * @param upstream upstream of the attempt, not null
     * @param failure why the attempt failed, not null
     */
    public RetryDecision afterFailure(
            EntryRequest request, Upstream upstream, AttemptFailure failure) {
        throw new UnsupportedOperationException();
    }

    /** Records that an attempt brought a whole answer. */
    public void succeeded(EntryRequest request, Upstream upstream) {
        throw new UnsupportedOperationException();
    }

    /** Records that an attempt ended without result because the caller or the deadline ended it. */
    public void abandoned(EntryRequest request, Upstream upstream) {
        throw new UnsupportedOperationException();
    }
}
