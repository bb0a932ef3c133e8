package org.foxtailmoor.node.data;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.core.admission.RetryAfterSpread;
import org.foxtailmoor.core.admission.TransitDelay;
import org.foxtailmoor.core.routing.AttemptFailure;
import org.foxtailmoor.core.routing.Decision;
import org.foxtailmoor.core.routing.EntryRequest;
import org.foxtailmoor.core.routing.RetryDecision;
import org.foxtailmoor.core.routing.RoutingSnapshot;
import org.foxtailmoor.core.routing.SnapshotReference;
import org.foxtailmoor.core.routing.Upstream;
import org.foxtailmoor.node.trace.Hop;
import org.foxtailmoor.protocol.generated.CrashCount;
import org.foxtailmoor.protocol.generated.RequestStart;

/**
 * One request at its entry node, from the arrival of its head to its outcome, including all
 * attempts.
 */
final class EntryCall implements Cancellable {
    /**
     * Time after the deadline in which the answer of the home node may still arrive. Only the home
     * node knows whether the request has run.
     */
    static final long DEADLINE_GRACE_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(20);

    /** Retry-After while no upstream of a service is up; targets need seconds to start. */
    private static final int NO_UPSTREAM_RETRY_AFTER_MILLISECONDS = 1_000;

    private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000;
    private static final int MIN_SERVER_ERROR_STATUS = 500;

    private final EntryGateway mGateway;
    private final EntryHead mHead;
    private final EntryRequest mRequest;
    private final SnapshotReference.Use<RoutingSnapshot> mSnapshotUse;
    private final OutcomeListener mListener;
    private final Hop mHop;
    private final long mStartedNanoseconds;
    private BufferedBody mBody;
    private Attempt mAttempt;
    private Upstream mLastUpstream;
    private ScheduledFuture<?> mDeadlineTimer;
    private ScheduledFuture<?> mBackoffTimer;
    private Outcome.Failure mLastFailure;
    private List<CrashCount> mCrashCounts = List.of();
    private Outcome.Answer mFallbackAnswer;
    private boolean mEnded;

    EntryCall(
            EntryGateway gateway,
            EntryHead head,
            EntryRequest request,
            SnapshotReference.Use<RoutingSnapshot> snapshotUse,
            OutcomeListener listener) {
        mGateway = gateway;
        mHead = head;
        mRequest = request;
        mSnapshotUse = snapshotUse;
        mListener = listener;
        mStartedNanoseconds = gateway.dependencies().ticker().nanoTime();
        mHop =
                gateway.dependencies()
                        .tracer()
                        .start(
                                "entry",
                                request.route().id(),
                                HeaderFields.find(head.headers(), HeaderFields.TRACEPARENT));
    }

    /** Returns the body size limit of the route in bytes. */
    int bodyLimitBytes() {
        int limit = mRequest.route().entry().getBodyLimitBytes();
        return limit < 0 ? Integer.MAX_VALUE : limit;
    }

    /**
     * Refuses a call that has not run, without calling its listener.
     *
     * @param kind error kind that implies "not run"
     */
    void refuse(ErrorKind kind) {
        mGateway.dependencies().metrics().countEntryError(kind);
        end(kind.status(), kind);
    }

    /** Starts the deadline timer, which also covers the time to receive the body. */
    void startDeadline() {
        long remaining =
                mRequest.deadlineNanoseconds()
                        - mGateway.dependencies().ticker().nanoTime()
                        + DEADLINE_GRACE_NANOSECONDS;
        mDeadlineTimer =
                mGateway.dependencies()
                        .loop()
                        .schedule(this::onDeadline, remaining, TimeUnit.NANOSECONDS);
    }

    /**
     * Starts the first attempt.
     *
     * @param body complete body; ownership passes to this call
     */
    void run(BufferedBody body) {
        mBody = body;
        mRequest.setBodyBytes(body.length());
        attempt();
    }

    @Override
    public void cancel() {
        if (mEnded) {
            return;
        }
        mGateway.dependencies().metrics().entryCancelled().inc();
        cancelAttempt();
        end(ErrorKind.CANCELLED.status(), ErrorKind.CANCELLED);
    }

    /** Ends the call because the node shuts down; as not run unless an attempt may have run. */
    void endByShutdown() {
        if (mEnded) {
            return;
        }
        boolean mayHaveRun = mayHaveRun();
        cancelAttempt();
        failByShutdown(mayHaveRun, "the node shut down before the request ended");
    }

    private void failByShutdown(boolean mayHaveRun, String message) {
        ErrorKind kind = mayHaveRun ? ErrorKind.UPSTREAM_FAILED : ErrorKind.LEAVING;
        mLastFailure = Outcome.Failure.of(kind, message);
        fail(kind, 0);
    }

    private void attempt() {
        if (!mGateway.dependencies().shutdownWindow().allows(mRequest.deadlineNanoseconds())) {
            failByShutdown(mRequest.mayHaveRun(), "the node shuts down before the deadline");
            return;
        }
        Decision<Upstream> decision = mGateway.dependencies().decisions().choose(mRequest);
        if (decision.isRefused()) {
            // The last upstream that refused gives the best estimate of when to retry.
            int retryAfter =
                    mLastFailure == null
                            ? mRequest.retryAfterMilliseconds()
                            : mLastFailure.retryAfterMilliseconds();
            boolean noUpstream = decision.refusal() == ErrorKind.NO_UPSTREAM;
            fail(
                    decision.refusal(),
                    noUpstream && retryAfter == 0
                            ? NO_UPSTREAM_RETRY_AFTER_MILLISECONDS
                            : retryAfter);
            return;
        }
        Attempt attempt = new Attempt(decision.value());
        mAttempt = attempt;
        mLastUpstream = decision.value();
        Cancellable cancellation =
                mGateway.send(
                        decision.value(),
                        newRequestStart(decision.value()),
                        mBody.retain(),
                        mRequest.deadlineNanoseconds(),
                        attempt);
        attempt.mCancellation = cancellation;
    }

    private RequestStart newRequestStart(Upstream upstream) {
        long now = mGateway.dependencies().ticker().nanoTime();
        long remaining = mRequest.deadlineNanoseconds() - now;
        long objective = mRequest.objectiveNanoseconds() - now;
        // Rounded up, so that a short remaining time is not truncated to 0.
        long milliseconds =
                Math.max(
                        1,
                        (remaining + NANOSECONDS_PER_MILLISECOND - 1)
                                / NANOSECONDS_PER_MILLISECOND);
        return RequestStart.newBuilder()
                .setMethod(mHead.method())
                .setPath(mHead.path())
                .addAllHeaders(HeaderFields.withTrace(mHead.headers(), mHop.traceparent()))
                .addHeaders(
                        HeaderFields.of(
                                mGateway.dependencies().headers().callerService().toString(),
                                mGateway.dependencies().callerService().get()))
                .setServiceId(mRequest.serviceId())
                .setRouteId(mRequest.route().id())
                .setDeadlineMilliseconds((int) Math.min(Integer.MAX_VALUE, milliseconds))
                .setIdempotencyKey(mRequest.key() == null ? "" : mRequest.key().text())
                .setCatalogueNumber(mRequest.snapshot().catalogueVersion().getNumber())
                .setBodyBytes(mBody.length())
                .setIdempotent(mRequest.route().isIdempotent())
                .setInstanceId(upstream.id())
                .setSentMicroseconds(TransitDelay.timestampMicroseconds(now))
                .setPriority(mRequest.route().entry().getPriority())
                .setLatencyObjectiveMilliseconds((int) TimeUnit.NANOSECONDS.toMillis(objective))
                .addAllCrashCounts(mCrashCounts)
                .build();
    }

    private void onDeadline() {
        if (mEnded) {
            return;
        }
        boolean mayHaveRun = mayHaveRun();
        cancelAttempt();
        fail(mayHaveRun ? ErrorKind.DEADLINE_EXCEEDED : ErrorKind.DEADLINE_BEFORE_RUN, 0);
    }

    private boolean mayHaveRun() {
        return mRequest.mayHaveRun() || (mAttempt != null && !mAttempt.mCancellation.isUnsent());
    }

    private void cancelAttempt() {
        if (mAttempt == null) {
            return;
        }
        Attempt attempt = mAttempt;
        mAttempt = null;
        attempt.mCancellation.cancel();
        mGateway.dependencies().decisions().onAbandoned(mRequest, attempt.mUpstream);
    }

    private void onAnswer(Upstream upstream, Outcome.Answer answer) {
        if (answer.targetMicroseconds() > 0 && answer.status() < MIN_SERVER_ERROR_STATUS) {
            long time = TimeUnit.MICROSECONDS.toNanos(answer.targetMicroseconds());
            mGateway.dependencies().decisions().onServiceTime(mRequest, upstream, time);
        }
        boolean retryAnswer =
                mGateway.dependencies()
                        .decisions()
                        .afterResponse(mRequest, upstream, answer.status());
        if (retryAnswer) {
            mFallbackAnswer = answer;
            scheduleRetry(0);
            return;
        }
        mGateway.dependencies().decisions().onResponseForwarded(mRequest, answer.body().length());
        end(answer.status(), null);
        mListener.onOutcome(answer);
    }

    private void onFailure(Upstream upstream, AttemptFailure failure) {
        String cause = mLastFailure == null ? "the link was lost" : mLastFailure.message();
        mGateway.dependencies()
                .log()
                .attemptFailed(mHead, mRequest, upstream, failure.kind(), cause);
        RetryDecision next =
                mGateway.dependencies().decisions().afterFailure(mRequest, upstream, failure);
        if (!next.isRetry()) {
            fail(next.error(), next.retryAfterMilliseconds());
            return;
        }
        scheduleRetry(next.delayNanoseconds());
    }

    private void scheduleRetry(long delayNanoseconds) {
        mGateway.dependencies().metrics().entryRetries().inc();
        // Scheduled even without a delay, so that synchronous refusals cannot recurse.
        mBackoffTimer =
                mGateway.dependencies()
                        .loop()
                        .schedule(this::retry, delayNanoseconds, TimeUnit.NANOSECONDS);
    }

    private void retry() {
        if (!mEnded) {
            attempt();
        }
    }

    private void fail(ErrorKind kind, int retryAfterMilliseconds) {
        if (mFallbackAnswer != null) {
            Outcome.Answer answer = mFallbackAnswer;
            mFallbackAnswer = null;
            end(answer.status(), null);
            mListener.onOutcome(answer);
            return;
        }
        mGateway.dependencies().metrics().countEntryError(kind);
        boolean explained = mLastFailure != null && mLastFailure.kind() == kind;
        String message = explained ? mLastFailure.message() : ErrorMessages.of(kind);
        // Callers wait for at most a part of their time, and a retry after that is not early.
        long left = mRequest.deadlineNanoseconds() - mGateway.dependencies().ticker().nanoTime();
        long honoured = TimeUnit.NANOSECONDS.toMillis(left / RetryAfterSpread.HONOURED_DIVISOR);
        mRequest.setRetryAfterMilliseconds(
                (int) Math.max(0, Math.min(retryAfterMilliseconds, honoured)));
        end(kind.status(), kind);
        mListener.onOutcome(new Outcome.Failure(kind, message, retryAfterMilliseconds));
    }

    private void end(int status, ErrorKind kind) {
        mEnded = true;
        mDeadlineTimer.cancel(false);
        if (mBackoffTimer != null) {
            mBackoffTimer.cancel(false);
        }
        if (mBody != null) {
            mBody.release();
        }
        if (mFallbackAnswer != null) {
            mFallbackAnswer.release();
            mFallbackAnswer = null;
        }
        mSnapshotUse.release();
        mGateway.onEnded();
        if (kind != null || status >= MIN_SERVER_ERROR_STATUS) {
            mGateway.dependencies().decisions().onRejected(mRequest);
        }
        if (kind != ErrorKind.CANCELLED && isToOtherService()) {
            long now = mGateway.dependencies().ticker().nanoTime();
            mGateway.dependencies()
                    .callLimits()
                    .onCallEnded(
                            kind != null && isRefusedOrLate(kind),
                            mRequest.objectiveNanoseconds() - now < 0);
        }
        long duration = mGateway.dependencies().ticker().nanoTime() - mStartedNanoseconds;
        mGateway.dependencies().metrics().entryDuration().update(duration, TimeUnit.NANOSECONDS);
        mGateway.dependencies().log().ended(mHead, mRequest, mLastUpstream, status, kind, duration);
        mHop.end(status, kind == null ? null : kind.name());
    }

    /** Returns whether the called service had no capacity for the request in its time. */
    private static boolean isRefusedOrLate(ErrorKind kind) {
        return switch (kind) {
            // A target that rejects requests by itself may be faulty while others have capacity.
            case OVERLOADED, DEADLINE_BEFORE_RUN, DEADLINE_EXCEEDED -> true;
            default -> false;
        };
    }

    private boolean isToOtherService() {
        return !mRequest.serviceId().equals(mGateway.dependencies().callerService().get());
    }

    /**
     * One attempt at an upstream. Outcomes that arrive after the attempt has ended are discarded.
     */
    private final class Attempt implements AttemptListener {
        private final Upstream mUpstream;
        private Cancellable mCancellation = Cancellable.NONE;

        Attempt(Upstream upstream) {
            mUpstream = upstream;
        }

        @Override
        public void onOutcome(Outcome outcome) {
            if (mAttempt != this) {
                outcome.release();
                return;
            }
            mAttempt = null;
            if (outcome instanceof Outcome.Answer answer) {
                onAnswer(mUpstream, answer);
            } else if (outcome instanceof Outcome.Failure failure) {
                mLastFailure = failure;
                if (!failure.crashCounts().isEmpty()) {
                    mCrashCounts = failure.crashCounts();
                }
                onFailure(
                        mUpstream,
                        AttemptFailure.refused(failure.kind(), failure.retryAfterMilliseconds()));
            }
        }

        @Override
        public void onLinkLost(boolean fullySent) {
            if (mAttempt != this) {
                return;
            }
            mAttempt = null;
            mLastFailure = null;
            onFailure(mUpstream, fullySent ? AttemptFailure.lostLink() : AttemptFailure.notSent());
        }
    }
}
