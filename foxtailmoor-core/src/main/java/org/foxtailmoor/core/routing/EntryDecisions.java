package org.foxtailmoor.core.routing;

import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.base.ErrorKind;

/**
 * Routes requests at the entry node in deployments with idempotency keys: a request with a key goes
 * to the home of the key, any other to the upstream that the balancer selects. Confined to the data
 * loop.
 *
 * <pre>{@code
 * Decision<EntryRequest> begun = decisions.begin(snapshot, "", "GET", "/a", null, 0, 0);
 * Decision<Upstream> upstream = decisions.choose(begun.value());
 * RetryDecision next = decisions.afterFailure(begun.value(), upstream.value(), failure);
 * }</pre>
 */
public final class EntryDecisions implements RequestDecisions {
    private final EpochClock mClock;
    private final UpstreamTable mUpstreams;
    private final Balancer mBalancer;
    private final RetryPolicy mRetryPolicy;
    private RoutingSnapshot mSnapshot;

    private EntryDecisions(
            EpochClock clock, UpstreamTable upstreams, Balancer balancer, RetryPolicy policy) {
        mClock = Objects.requireNonNull(clock, "clock");
        mUpstreams = Objects.requireNonNull(upstreams, "upstreams");
        mBalancer = Objects.requireNonNull(balancer, "balancer");
        mRetryPolicy = Objects.requireNonNull(policy, "policy");
    }

    /** Creates an instance for one entry node; no argument may be null. */
    public static EntryDecisions of(
            EpochClock clock, UpstreamTable upstreams, Balancer balancer, RetryPolicy policy) {
        return new EntryDecisions(clock, upstreams, balancer, policy);
    }

    @Override
    public Decision<EntryRequest> begin(
            RoutingSnapshot snapshot,
            String host,
            String method,
            String path,
            String keyHeader,
            long bodyBytes,
            long callerDeadlineMilliseconds) {
        applySnapshot(snapshot);
        Route route = snapshot.route(host, method, path);
        if (route == null) {
            return Decision.refused(ErrorKind.NO_ROUTE);
        }
        if (bodyBytes > Integer.toUnsignedLong(route.entry().getBodyLimitBytes())) {
            return Decision.refused(ErrorKind.BODY_TOO_LARGE);
        }
        IdempotencyKey key = IdempotencyKey.parse(keyHeader);
        if (keyHeader == null && route.entry().getRequireKey()) {
            return Decision.refused(ErrorKind.KEY_REQUIRED);
        }
        if (keyHeader != null && (key == null || key.isFromFuture(mClock.milliseconds()))) {
            return Decision.refused(ErrorKind.KEY_INVALID);
        }
        mRetryPolicy.requestStarted(route);
        long deadline = deadlineNanoseconds(route, callerDeadlineMilliseconds);
        return Decision.of(new EntryRequest(snapshot, route, key, deadline));
    }

    /**
     * Selects the home of the request's key, or the balancer's choice for a request without a key;
     * see {@link RequestDecisions#choose}.
     */
    @Override
    public Decision<Upstream> choose(EntryRequest request) {
        if (remainingNanoseconds(request) <= 0) {
            return Decision.refused(reportedKind(request, ErrorKind.DEADLINE_BEFORE_RUN));
        }
        ServiceView service = request.snapshot().service(request.route().serviceId());
        Upstream chosen;
        if (request.key() == null) {
            chosen =
                    mBalancer.choose(
                            PlacementQuery.builder(request.snapshot(), service)
                                    .setExcluded(request.tried())
                                    .setConstraints(
                                            PlaceConstraints.of(
                                                    request.route(), request.snapshot()))
                                    .setRouteId(request.route().id())
                                    .setBodyBytes(request.bodyBytes())
                                    .build());
        } else {
            chosen = reachableHome(service, request.key());
        }
        if (chosen == null) {
            return Decision.refused(reportedKind(request, ErrorKind.NO_UPSTREAM));
        }
        request.countAttempt(chosen.id());
        mUpstreams.attemptStarted(chosen.id());
        return Decision.of(chosen);
    }

    @Override
    public RetryDecision afterFailure(
            EntryRequest request, Upstream upstream, AttemptFailure failure) {
        mUpstreams.attemptEnded(upstream.id());
        recordFailure(upstream, failure);
        if (!failure.kind().isNotRun()) {
            request.markMayHaveRun();
        }
        long minDelay = 0;
        if (request.key() != null) {
            minDelay = TimeUnit.MILLISECONDS.toNanos(failure.retryAfterMilliseconds());
        }
        long delay = RetryPolicy.NO_RETRY;
        if (mayAttemptAgain(request, failure)) {
            delay =
                    mRetryPolicy.nextDelayNanoseconds(
                            request.route(),
                            request.attempts(),
                            minDelay,
                            remainingNanoseconds(request));
        }
        if (delay != RetryPolicy.NO_RETRY) {
            return RetryDecision.retryAfter(delay);
        }
        return RetryDecision.fail(
                reportedKind(request, failure.kind()), failure.retryAfterMilliseconds());
    }

    @Override
    public boolean afterResponse(EntryRequest request, Upstream upstream, int status) {
        mUpstreams.attemptEnded(upstream.id());
        mUpstreams.reportSuccess(upstream.id());
        return false;
    }

    @Override
    public void onAbandoned(EntryRequest request, Upstream upstream) {
        mUpstreams.attemptEnded(upstream.id());
    }

    private void recordFailure(Upstream upstream, AttemptFailure failure) {
        switch (failure.kind()) {
            case LEAVING:
                mUpstreams.markLeaving(upstream.id());
                break;
            case UPSTREAM_FAILED:
            case NO_UPSTREAM:
                mUpstreams.reportFailure(upstream.id());
                break;
            default:
                break;
        }
    }

    @Override
    public void onResponseForwarded(EntryRequest request, long responseBytes) {
        // The balancer does not consider response sizes.
    }

    @Override
    public void onRejected(EntryRequest request) {
        // Retries of callers are recognized by their idempotency keys.
    }

    /**
     * Returns whether another attempt is safe. A target crash, which the home reports as
     * UPSTREAM_FAILED, is never retried, because the request itself may have caused it.
     */
    private static boolean mayAttemptAgain(EntryRequest request, AttemptFailure failure) {
        if (failure.kind().isNotRun()) {
            return failure.kind().isRetryableElsewhere();
        }
        return failure.linkLost() && request.route().isIdempotent() && request.key() == null;
    }

    /** Returns the kind to report, which states "not run" only if no attempt may have run. */
    private static ErrorKind reportedKind(EntryRequest request, ErrorKind kind) {
        if (request.mayHaveRun() && (kind.isNotRun() || kind == ErrorKind.UPSTREAM_FAILED)) {
            if (kind == ErrorKind.DEADLINE_BEFORE_RUN) {
                return ErrorKind.DEADLINE_EXCEEDED;
            }
            return request.route().isIdempotent()
                    ? ErrorKind.UPSTREAM_FAILED
                    : ErrorKind.OUTCOME_UNKNOWN;
        }
        if (kind == ErrorKind.NO_UPSTREAM && request.key() != null) {
            return ErrorKind.HOME_UNAVAILABLE;
        }
        return kind;
    }

    private Upstream reachableHome(ServiceView service, IdempotencyKey key) {
        Upstream home = service.homeOf(key);
        return home == null || mUpstreams.isUnreachable(home.id()) ? null : home;
    }

    private long deadlineNanoseconds(Route route, long callerDeadlineMilliseconds) {
        long milliseconds = Integer.toUnsignedLong(route.entry().getDeadlineMilliseconds());
        if (callerDeadlineMilliseconds > 0) {
            milliseconds = Math.min(milliseconds, callerDeadlineMilliseconds);
        }
        return mClock.ticker().nanoTime() + TimeUnit.MILLISECONDS.toNanos(milliseconds);
    }

    private long remainingNanoseconds(EntryRequest request) {
        return request.deadlineNanoseconds() - mClock.ticker().nanoTime();
    }

    private void applySnapshot(RoutingSnapshot snapshot) {
        if (snapshot != mSnapshot) {
            mSnapshot = snapshot;
            mUpstreams.update(snapshot);
            mRetryPolicy.retain(snapshot);
        }
    }
}
