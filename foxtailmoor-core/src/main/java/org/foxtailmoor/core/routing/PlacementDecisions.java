package org.foxtailmoor.core.routing;

import io.netty.util.concurrent.Ticker;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.base.ErrorKind;

/**
 * Decides about requests without idempotency keys at their entry. Belongs to the data loop.
 *
 * <p>A refusal by a node that has sent nothing to its target is free: the next upstream is tried at
 * once. What has reached a target costs a repeat of the service's budget, and is repeated only if
 * the target stated that it did not run it, or if the request is idempotent.
 */
public final class PlacementDecisions implements RequestDecisions {
    /** Upstreams asked for one request; each refusal costs a round trip of its deadline. */
    public static final int MAXIMUM_PLACEMENTS = 4;

    /** Time to state when no upstream of a service is reachable; a process starts in about that. */
    public static final int NO_UPSTREAM_RETRY_MILLISECONDS = 400;

    private static final int LEAST_SERVER_ERROR = 500;

    private final Ticker mTicker;
    private final UpstreamTable mUpstreams;
    private final Balancer mBalancer;
    private final TrafficSplitter mSplitter;
    private final SharedRetryBudget mBudget;
    private final ReturningCallers mReturning;
    private final AnswerSizes mAnswerSizes = new AnswerSizes();
    private RoutingSnapshot mSnapshot;

    private PlacementDecisions(
            Ticker ticker,
            UpstreamTable upstreams,
            Balancer balancer,
            TrafficSplitter splitter,
            SharedRetryBudget budget) {
        mTicker = Objects.requireNonNull(ticker, "ticker");
        mReturning = ReturningCallers.of(ticker);
        mUpstreams = Objects.requireNonNull(upstreams, "upstreams");
        mBalancer = Objects.requireNonNull(balancer, "balancer");
        mSplitter = Objects.requireNonNull(splitter, "splitter");
        mBudget = Objects.requireNonNull(budget, "budget");
    }

    /** Creates the decisions of one entry; no argument may be null. */
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
        takeSnapshot(snapshot);
        Route route = snapshot.route(host, method, path);
        if (route == null) {
            return Decision.refused(ErrorKind.NO_ROUTE);
        }
        if (bodyBytes > Integer.toUnsignedLong(route.entry().getBodyLimitBytes())) {
            return Decision.refused(ErrorKind.BODY_TOO_LARGE);
        }
        String serviceId = mSplitter.next(route);
        mBudget.requestStarted(serviceId);
        long now = mTicker.nanoTime();
        long allowed = Integer.toUnsignedLong(route.entry().getDeadlineMilliseconds());
        if (callerDeadlineMilliseconds > 0) {
            allowed = Math.min(allowed, callerDeadlineMilliseconds);
        }
        long objective = Integer.toUnsignedLong(route.entry().getLatencyObjectiveMilliseconds());
        CallerAttempt attempt = mReturning.arrived(path, callerDeadlineMilliseconds);
        // The objective counts from the first attempt of the caller, and may have passed.
        long latest = now + TimeUnit.MILLISECONDS.toNanos(allowed);
        long onTime =
                objective == 0
                        ? latest
                        : attempt.firstNanoseconds() + TimeUnit.MILLISECONDS.toNanos(objective);
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
            return Decision.refused(truthful(request, ErrorKind.DEADLINE_BEFORE_RUN));
        }
        ServiceView service = request.snapshot().service(request.serviceId());
        // A later list may know targets that the request's own list does not, and the reverse.
        ServiceView current = mSnapshot.service(request.serviceId());
        Upstream chosen =
                mBalancer.choose(
                        mSnapshot,
                        current == null ? service : current,
                        request.tried(),
                        request.bodyBytes() + mAnswerSizes.mean(request.route().id()),
                        longestExpectedNanoseconds(request));
        if (chosen == null) {
            ErrorKind kind = request.attempts() == 0 ? ErrorKind.NO_UPSTREAM : ErrorKind.OVERLOADED;
            return Decision.refused(truthful(request, kind));
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
        boolean arrived =
                !failure.kind().isNotRun() || failure.kind() == ErrorKind.UPSTREAM_REJECTED;
        if (arrived) {
            request.countArrival();
        }
        if (!failure.kind().isNotRun()) {
            request.markMayHaveRun();
        }
        if (mayAttemptAgain(request, failure, arrived)) {
            return RetryDecision.retryAfter(0);
        }
        int retryAfter = failure.retryAfterMilliseconds();
        if (retryAfter == 0 && failure.kind().isRetryableElsewhere()) {
            retryAfter = NO_UPSTREAM_RETRY_MILLISECONDS;
        }
        return RetryDecision.answer(truthful(request, failure.kind()), retryAfter);
    }

    @Override
    public boolean repeatsAnswer(EntryRequest request, Upstream upstream, int status) {
        mUpstreams.attemptEnded(upstream.id());
        mUpstreams.reportSuccess(upstream.id());
        request.countArrival();
        if (status < LEAST_SERVER_ERROR) {
            return false;
        }
        request.markMayHaveRun();
        // An answer that is late already is not worth the load of another attempt.
        boolean onTime = request.objectiveNanoseconds() - mTicker.nanoTime() > 0;
        return onTime
                && request.route().isIdempotent()
                && request.arrivals() < attemptLimit(request)
                && mBudget.tryTake(request.serviceId());
    }

    @Override
    public void abandoned(EntryRequest request, Upstream upstream) {
        mUpstreams.attemptEnded(upstream.id());
    }

    @Override
    public void answered(EntryRequest request, long answerBytes) {
        mAnswerSizes.add(request.route().id(), answerBytes);
    }

    @Override
    public void turnedAway(EntryRequest request) {
        if (request.callerAttempt() != null) {
            mReturning.turnedAway(request.callerAttempt());
        }
    }

    /**
     * Returns how long the next attempt may be expected to take. After a refusal, another upstream
     * is asked only if it is expected to answer on time: when all are full, a refusal at once lets
     * the caller come back, while asking one after the other takes a round trip each. A request
     * that is late already is placed like one that has its whole objective left.
     */
    private long longestExpectedNanoseconds(EntryRequest request) {
        long remaining = remainingNanoseconds(request);
        if (request.attempts() == 0) {
            return Long.MAX_VALUE;
        }
        if (request.arrivals() > 0) {
            return remaining;
        }
        long left = request.objectiveNanoseconds() - mTicker.nanoTime();
        long whole = request.route().entry().getLatencyObjectiveMilliseconds();
        return left > 0 ? left : Math.min(remaining, TimeUnit.MILLISECONDS.toNanos(whole));
    }

    private void takeSnapshot(RoutingSnapshot snapshot) {
        if (snapshot == mSnapshot) {
            return;
        }
        mSnapshot = snapshot;
        mUpstreams.update(snapshot);
        mSplitter.retain(snapshot);
        mAnswerSizes.retain(snapshot);
        mBudget.resize(mUpstreams.size());
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
        if (remainingNanoseconds(request) <= 0 || request.attempts() >= MAXIMUM_PLACEMENTS) {
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
                && request.arrivals() < attemptLimit(request)
                && mBudget.tryTake(request.serviceId());
    }

    private static int attemptLimit(EntryRequest request) {
        return Math.max(1, request.route().entry().getAttempts());
    }

    /** Returns the kind to answer, which says "not run" only if no attempt may have run. */
    private static ErrorKind truthful(EntryRequest request, ErrorKind kind) {
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
