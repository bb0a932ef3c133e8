package org.foxtailmoor.core.routing;

import io.netty.util.concurrent.Ticker;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.core.admission.RetryAfterSpread;

/**
 * Routes requests at the entry node in deployments without idempotency keys. Confined to the data
 * loop.
 *
 * <p>After a refusal by a node that has sent nothing to its target, the next upstream is tried
 * immediately and without cost. An attempt that reached a target is retried only if the target
 * stated that it did not run the request or if the request is idempotent, and the retry is taken
 * from the retry budget of the service.
 */
public final class PlacementDecisions implements RequestDecisions {
    /** Maximum attempts per request; each refusal uses up a round trip of the deadline. */
    public static final int MAX_ATTEMPTS = 4;

    /**
     * Retry delay to report when no upstream of a service is reachable: about the time that a
     * process takes to start.
     */
    public static final int NO_UPSTREAM_RETRY_AFTER_MILLISECONDS = 400;

    /**
     * Ratio of the expected latency to the remaining time from which an upstream is ruled out.
     * Expected latencies contain penalties for failures, and load reports are some 100 ms old.
     */
    private static final double FIRST_ATTEMPT_MARGIN = 1.5;

    private static final int MIN_SERVER_ERROR_STATUS = 500;

    private final Ticker mTicker;
    private final UpstreamTable mUpstreams;
    private final Balancer mBalancer;
    private final TrafficSplitter mSplitter;
    private final SharedRetryBudget mBudget;
    private final CallerRetryTracker mCallerRetries;
    private final ResponseSizeEstimator mResponseSizes = new ResponseSizeEstimator();
    private final RetryAfterSpread mRetryAfter = new RetryAfterSpread();
    private RoutingSnapshot mSnapshot;

    private PlacementDecisions(
            Ticker ticker,
            UpstreamTable upstreams,
            Balancer balancer,
            TrafficSplitter splitter,
            SharedRetryBudget budget) {
        mTicker = Objects.requireNonNull(ticker, "ticker");
        mCallerRetries = CallerRetryTracker.of(ticker);
        mUpstreams = Objects.requireNonNull(upstreams, "upstreams");
        mBalancer = Objects.requireNonNull(balancer, "balancer");
        mSplitter = Objects.requireNonNull(splitter, "splitter");
        mBudget = Objects.requireNonNull(budget, "budget");
    }

    /** Creates an instance for one entry node; no argument may be null. */
    public static PlacementDecisions of(
            Ticker ticker,
            UpstreamTable upstreams,
            Balancer balancer,
            TrafficSplitter splitter,
            SharedRetryBudget budget) {
        return new PlacementDecisions(ticker, upstreams, balancer, splitter, budget);
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
        String serviceId = mSplitter.nextServiceId(route);
        mBudget.requestStarted(serviceId);
        long now = mTicker.nanoTime();
        long allowed = Integer.toUnsignedLong(route.entry().getDeadlineMilliseconds());
        if (callerDeadlineMilliseconds > 0) {
            allowed = Math.min(allowed, callerDeadlineMilliseconds);
        }
        long objective = Integer.toUnsignedLong(route.entry().getLatencyObjectiveMilliseconds());
        CallerAttempt attempt = mCallerRetries.onArrival(path, callerDeadlineMilliseconds);
        // The objective is measured from the caller's first attempt, so it may have passed already.
        long latest = now + TimeUnit.MILLISECONDS.toNanos(allowed);
        long onTime =
                objective == 0
                        ? latest
                        : attempt.objectiveNanoseconds(TimeUnit.MILLISECONDS.toNanos(objective));
        EntryRequest request =
                new EntryRequest(
                        snapshot,
                        route,
                        null,
                        serviceId,
                        latest,
                        latest - onTime < 0 ? latest : onTime);
        request.setCallerAttempt(attempt);
        return Decision.of(request);
    }

    @Override
    public Decision<Upstream> choose(EntryRequest request) {
        if (remainingNanoseconds(request) <= 0) {
            return Decision.refused(reportedKind(request, ErrorKind.DEADLINE_BEFORE_RUN));
        }
        Upstream chosen = place(request, maxExpectedNanoseconds(request));
        if (chosen == null) {
            ErrorKind kind = request.attempts() == 0 ? ErrorKind.NO_UPSTREAM : ErrorKind.OVERLOADED;
            if (request.attempts() == 0 && place(request, Long.MAX_VALUE) != null) {
                kind = ErrorKind.OVERLOADED;
                request.setRetryAfterMilliseconds(retryAfterMilliseconds(request));
            }
            return Decision.refused(reportedKind(request, kind));
        }
        request.countAttempt(chosen.id());
        mUpstreams.attemptStarted(chosen.id());
        mUpstreams.reportBodiesPlaced(chosen.id(), expectedBodyBytes(request));
        return Decision.of(chosen);
    }

    @Override
    public RetryDecision afterFailure(
            EntryRequest request, Upstream upstream, AttemptFailure failure) {
        mUpstreams.attemptEnded(upstream.id());
        recordFailure(upstream, failure);
        boolean arrived =
                !failure.kind().isNotRun() || failure.kind() == ErrorKind.UPSTREAM_REJECTED;
        if (arrived) {
            request.countTargetAttempt();
        }
        if (!failure.kind().isNotRun()) {
            request.markMayHaveRun();
        }
        if (mayAttemptAgain(request, failure, arrived)) {
            return RetryDecision.retryAfter(0);
        }
        int retryAfter = failure.retryAfterMilliseconds();
        if (retryAfter == 0 && failure.kind().isRetryableElsewhere()) {
            retryAfter =
                    mayReturnAtOnce(request, failure.kind())
                            ? RetryAfterSpread.MIN_MILLISECONDS
                            : NO_UPSTREAM_RETRY_AFTER_MILLISECONDS;
        }
        return RetryDecision.fail(reportedKind(request, failure.kind()), retryAfter);
    }

    /**
     * Returns whether the caller of a request that its target rejected need not wait: the rejection
     * says nothing about other targets, and one of them is expected to respond on time. Only the
     * retry budget of the nodes, which does not apply to callers, keeps the request from it.
     */
    private boolean mayReturnAtOnce(EntryRequest request, ErrorKind kind) {
        if (kind != ErrorKind.UPSTREAM_REJECTED) {
            return false;
        }
        long objective = objectiveLeftNanoseconds(request);
        return place(request, objective > 0 ? objective : remainingNanoseconds(request)) != null;
    }

    @Override
    public boolean afterResponse(EntryRequest request, Upstream upstream, int status) {
        mUpstreams.attemptEnded(upstream.id());
        mUpstreams.reportSuccess(upstream.id());
        request.countTargetAttempt();
        if (status < MIN_SERVER_ERROR_STATUS) {
            return false;
        }
        request.markMayHaveRun();
        // A response that is already late does not justify the load of another attempt.
        boolean onTime = request.objectiveNanoseconds() - mTicker.nanoTime() > 0;
        return onTime
                && request.route().isIdempotent()
                && request.targetAttempts() < attemptLimit(request)
                && mBudget.tryTake(request.serviceId());
    }

    @Override
    public void onServiceTime(EntryRequest request, Upstream upstream, long nanoseconds) {
        mUpstreams.reportServiceTime(upstream.id(), request.route().id(), nanoseconds);
    }

    @Override
    public void onAbandoned(EntryRequest request, Upstream upstream) {
        mUpstreams.attemptEnded(upstream.id());
    }

    @Override
    public void onResponseForwarded(EntryRequest request, long responseBytes) {
        mResponseSizes.record(request.route().id(), responseBytes);
    }

    @Override
    public void onRejected(EntryRequest request) {
        if (request.callerAttempt() != null) {
            mCallerRetries.onRejected(request.callerAttempt(), request.retryAfterMilliseconds());
        }
    }

    /** Returns the upstream with the lowest cost that is expected to respond in time, or null. */
    private Upstream place(EntryRequest request, long limitNanoseconds) {
        ServiceView service = request.snapshot().service(request.serviceId());
        // The current instance list may differ from the one in the request's own snapshot.
        ServiceView current = mSnapshot.service(request.serviceId());
        return mBalancer.choose(
                PlacementQuery.builder(mSnapshot, current == null ? service : current)
                        .setExcluded(request.tried())
                        .setConstraints(PlaceConstraints.of(request.route(), mSnapshot))
                        .setRouteId(request.route().id())
                        .setBodyBytes(expectedBodyBytes(request))
                        .setLimitNanoseconds(limitNanoseconds)
                        .setTimeLeft(
                                objectiveLeftNanoseconds(request), remainingNanoseconds(request))
                        .build());
    }

    /**
     * Returns the delay to state if every upstream is expected to respond too late: callers are
     * spread over the time that they are prepared to wait.
     */
    private int retryAfterMilliseconds(EntryRequest request) {
        long left = remainingNanoseconds(request);
        long third = left / RetryAfterSpread.HONOURED_DIVISOR;
        return mRetryAfter.milliseconds(
                mTicker.nanoTime(), third / RetryAfterSpread.HONOURED_DIVISOR, third, left);
    }

    private long expectedBodyBytes(EntryRequest request) {
        return request.bodyBytes() + mResponseSizes.meanBytes(request.route().id());
    }

    /**
     * Returns the maximum expected latency of the next attempt. At first, only upstreams that will
     * probably respond too late are ruled out, so that no body is sent in vain. After a refusal,
     * another upstream is tried only if its response is expected on time: when all are full, an
     * immediate refusal lets the caller retry, while trying them in turn costs a round trip each. A
     * request that is already late is treated as if its whole objective were left.
     */
    private long maxExpectedNanoseconds(EntryRequest request) {
        long remaining = remainingNanoseconds(request);
        if (request.attempts() == 0) {
            return (long) (remaining * FIRST_ATTEMPT_MARGIN);
        }
        if (request.targetAttempts() > 0) {
            return remaining;
        }
        long left = request.objectiveNanoseconds() - mTicker.nanoTime();
        long whole = request.route().entry().getLatencyObjectiveMilliseconds();
        return left > 0 ? left : Math.min(remaining, TimeUnit.MILLISECONDS.toNanos(whole));
    }

    /**
     * Returns the time left until the latency objective, or until the deadline if the objective has
     * passed; 0 if the route has no objective.
     */
    private long objectiveLeftNanoseconds(EntryRequest request) {
        if (request.route().entry().getLatencyObjectiveMilliseconds() == 0) {
            return 0;
        }
        long left = request.objectiveNanoseconds() - mTicker.nanoTime();
        return left > 0 ? left : remainingNanoseconds(request);
    }

    private void applySnapshot(RoutingSnapshot snapshot) {
        if (snapshot == mSnapshot) {
            return;
        }
        mSnapshot = snapshot;
        mUpstreams.update(snapshot);
        mSplitter.retain(snapshot);
        mResponseSizes.retain(snapshot);
        mBudget.setNodeCount(mUpstreams.size());
    }

    private void recordFailure(Upstream upstream, AttemptFailure failure) {
        switch (failure.kind()) {
            case LEAVING:
                mUpstreams.markLeaving(upstream.id());
                break;
            case NO_UPSTREAM:
                mUpstreams.reportFailure(upstream.id());
                break;
            case UPSTREAM_FAILED:
                if (failure.linkLost()) {
                    mUpstreams.reportFailure(upstream.id());
                }
                break;
            default:
                break;
        }
    }

    private boolean mayAttemptAgain(EntryRequest request, AttemptFailure failure, boolean arrived) {
        if (remainingNanoseconds(request) <= 0 || request.attempts() >= MAX_ATTEMPTS) {
            return false;
        }
        if (!arrived) {
            return failure.kind().isRetryableElsewhere();
        }
        boolean repeatable = failure.kind().isNotRun() || request.route().isIdempotent();
        boolean failed =
                failure.kind() == ErrorKind.UPSTREAM_FAILED
                        || failure.kind() == ErrorKind.UPSTREAM_REJECTED;
        return repeatable
                && failed
                && request.targetAttempts() < attemptLimit(request)
                && mBudget.tryTake(request.serviceId());
    }

    private static int attemptLimit(EntryRequest request) {
        return Math.max(1, request.route().entry().getAttempts());
    }

    /** Returns the kind to report, which states "not run" only if no attempt may have run. */
    private static ErrorKind reportedKind(EntryRequest request, ErrorKind kind) {
        if (!request.mayHaveRun() || !kind.isNotRun()) {
            return kind;
        }
        return kind == ErrorKind.DEADLINE_BEFORE_RUN
                ? ErrorKind.DEADLINE_EXCEEDED
                : ErrorKind.UPSTREAM_FAILED;
    }

    private long remainingNanoseconds(EntryRequest request) {
        return request.deadlineNanoseconds() - mTicker.nanoTime();
    }
}
