package org.foxtailmoor.node.data;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.core.routing.AttemptFailure;
import org.foxtailmoor.core.routing.Decision;
import org.foxtailmoor.core.routing.EntryRequest;
import org.foxtailmoor.core.routing.RetryDecision;
import org.foxtailmoor.core.routing.RoutingSnapshot;
import org.foxtailmoor.core.routing.SnapshotReference;
import org.foxtailmoor.core.routing.Upstream;
import org.foxtailmoor.node.trace.Hop;
import org.foxtailmoor.protocol.generated.RequestStart;

/** One request at its entry, from its head to its outcome, with all its attempts. */
final class EntryCall implements Cancellable {
    /**
     * Time that the home's answer about a passed deadline has to arrive. Only the home knows
     * whether the request has run.
     */
    private static final long DEADLINE_GRACE_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(20);

    private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000;
    private static final int LEAST_SERVER_ERROR = 500;

    private final EntryGateway mGateway;
    private final EntryHead mHead;
    private final EntryRequest mRequest;
    private final SnapshotReference.Use<RoutingSnapshot> mUse;
    private final OutcomeListener mListener;
    private final Hop mHop;
    private final long mStartedNanoseconds;
    private HeldBody mBody;
    private Attempt mAttempt;
    private Upstream mLastUpstream;
    private ScheduledFuture<?> mDeadline;
    private ScheduledFuture<?> mBackoff;
    private Outcome.Failure mLastFailure;
    private Outcome.Answer mKeptAnswer;
    private boolean mEnded;

    EntryCall(
            EntryGateway gateway,
            EntryHead head,
            EntryRequest request,
            SnapshotReference.Use<RoutingSnapshot> use,
            OutcomeListener listener) {
        mGateway = gateway;
        mHead = head;
        mRequest = request;
        mUse = use;
        mListener = listener;
        mStartedNanoseconds = gateway.parts().ticker().nanoTime();
        mHop =
                gateway.parts()
                        .tracer()
                        .start(
                                "entry",
                                request.route().id(),
                                HeaderFields.find(head.headers(), HeaderFields.TRACEPARENT));
    }

    /** Returns the largest body that the route allows, in bytes. */
    int bodyLimitBytes() {
        int limit = mRequest.route().entry().getBodyLimitBytes();
        return limit < 0 ? Integer.MAX_VALUE : limit;
    }

    /**
     * Ends a call that has not run; its listener is not called.
     *
     * @param kind a kind that says "not run"
     */
    void refuse(ErrorKind kind) {
        mGateway.parts().metrics().countEntryError(kind);
        end(kind.status(), kind);
    }

    /** Starts the timer of the deadline, which covers the arrival of the body as well. */
    void startDeadline() {
        long left =
                mRequest.deadlineNanoseconds()
                        - mGateway.parts().ticker().nanoTime()
                        + DEADLINE_GRACE_NANOSECONDS;
        mDeadline = mGateway.parts().loop().schedule(this::onDeadline, left, TimeUnit.NANOSECONDS);
    }

    /**
     * Makes the first attempt.
     *
     * @param body whole body; owned by the call from now on
     */
    void run(HeldBody body) {
        mBody = body;
        mRequest.setBodyBytes(body.length());
        attempt();
    }

    @Override
    public void cancel() {
        if (mEnded) {
            return;
        }
        mGateway.parts().metrics().entryCancelled().inc();
        abandonAttempt();
        end(ErrorKind.CANCELLED.status(), ErrorKind.CANCELLED);
    }

    private void attempt() {
        Decision<Upstream> chosen = mGateway.parts().decisions().choose(mRequest);
        if (chosen.isRefused()) {
            // The upstream that refused last knows best when there will be room.
            fail(
                    chosen.refusal(),
                    mLastFailure == null ? 0 : mLastFailure.retryAfterMilliseconds());
            return;
        }
        Attempt attempt = new Attempt(chosen.value());
        mAttempt = attempt;
        mLastUpstream = chosen.value();
        Cancellable cancellation =
                mGateway.send(
                        chosen.value(),
                        startOfAttempt(chosen.value()),
                        mBody.retain(),
                        mRequest.deadlineNanoseconds(),
                        attempt);
        attempt.mCancellation = cancellation;
    }

    private RequestStart startOfAttempt(Upstream upstream) {
        long now = mGateway.parts().ticker().nanoTime();
        long left = mRequest.deadlineNanoseconds() - now;
        long objective = mRequest.objectiveNanoseconds() - now;
        // Rounded up, so that a short deadline does not become none.
        long milliseconds =
                Math.max(1, (left + NANOSECONDS_PER_MILLISECOND - 1) / NANOSECONDS_PER_MILLISECOND);
        return RequestStart.newBuilder()
                .setMethod(mHead.method())
                .setPath(mHead.path())
                .addAllHeaders(HeaderFields.withTrace(mHead.headers(), mHop.traceparent()))
                .addHeaders(
                        HeaderFields.of(
                                mGateway.parts().headers().callerService().toString(),
                                mGateway.parts().callerService().get()))
                .setServiceId(mRequest.serviceId())
                .setRouteId(mRequest.route().id())
                .setDeadlineMilliseconds((int) Math.min(Integer.MAX_VALUE, milliseconds))
                .setIdempotencyKey(mRequest.key() == null ? "" : mRequest.key().text())
                .setCatalogueNumber(mRequest.snapshot().catalogueVersion().getNumber())
                .setBodyBytes(mBody.length())
                .setIdempotent(mRequest.route().isIdempotent())
                .setInstanceId(upstream.id())
                .setPriority(mRequest.route().entry().getPriority())
                .setLatencyObjectiveMilliseconds((int) TimeUnit.NANOSECONDS.toMillis(objective))
                .build();
    }

    private void onDeadline() {
        if (mEnded) {
            return;
        }
        boolean mayHaveRun = mRequest.mayHaveRun() || mAttempt != null;
        abandonAttempt();
        fail(mayHaveRun ? ErrorKind.DEADLINE_EXCEEDED : ErrorKind.DEADLINE_BEFORE_RUN, 0);
    }

    private void abandonAttempt() {
        if (mAttempt == null) {
            return;
        }
        Attempt attempt = mAttempt;
        mAttempt = null;
        attempt.mCancellation.cancel();
        mGateway.parts().decisions().onAbandoned(mRequest, attempt.mUpstream);
    }

    private void onAnswer(Upstream upstream, Outcome.Answer answer) {
        boolean repeats =
                mGateway.parts().decisions().afterResponse(mRequest, upstream, answer.status());
        if (repeats) {
            mKeptAnswer = answer;
            attemptAgain(0);
            return;
        }
        mGateway.parts().decisions().onResponseForwarded(mRequest, answer.body().length());
        end(answer.status(), null);
        mListener.onOutcome(answer);
    }

    private void onFailure(Upstream upstream, AttemptFailure failure) {
        String cause = mLastFailure == null ? "the link was lost" : mLastFailure.message();
        mGateway.parts().log().attemptFailed(mHead, mRequest, upstream, failure.kind(), cause);
        RetryDecision next = mGateway.parts().decisions().afterFailure(mRequest, upstream, failure);
        if (!next.isRetry()) {
            fail(next.error(), next.retryAfterMilliseconds());
            return;
        }
        attemptAgain(next.delayNanoseconds());
    }

    private void attemptAgain(long delayNanoseconds) {
        mGateway.parts().metrics().entryRetries().inc();
        // Scheduled even without delay, so that refusals in the same call can't recurse.
        mBackoff =
                mGateway.parts()
                        .loop()
                        .schedule(this::retry, delayNanoseconds, TimeUnit.NANOSECONDS);
    }

    private void retry() {
        if (!mEnded) {
            attempt();
        }
    }

    private void fail(ErrorKind kind, int retryAfterMilliseconds) {
        if (mKeptAnswer != null) {
            Outcome.Answer answer = mKeptAnswer;
            mKeptAnswer = null;
            end(answer.status(), null);
            mListener.onOutcome(answer);
            return;
        }
        mGateway.parts().metrics().countEntryError(kind);
        boolean known = mLastFailure != null && mLastFailure.kind() == kind;
        String message = known ? mLastFailure.message() : ErrorMessages.of(kind);
        end(kind.status(), kind);
        mListener.onOutcome(new Outcome.Failure(kind, message, retryAfterMilliseconds));
    }

    private void end(int status, ErrorKind kind) {
        mEnded = true;
        mDeadline.cancel(false);
        if (mBackoff != null) {
            mBackoff.cancel(false);
        }
        if (mBody != null) {
            mBody.release();
        }
        if (mKeptAnswer != null) {
            mKeptAnswer.release();
            mKeptAnswer = null;
        }
        mUse.release();
        mGateway.onEnded();
        if (kind != null || status >= LEAST_SERVER_ERROR) {
            mGateway.parts().decisions().onRejected(mRequest);
        }
        long duration = mGateway.parts().ticker().nanoTime() - mStartedNanoseconds;
        mGateway.parts().metrics().entryDuration().update(duration, TimeUnit.NANOSECONDS);
        mGateway.parts().log().ended(mHead, mRequest, mLastUpstream, status, kind, duration);
        mHop.end(status, kind == null ? null : kind.name());
    }

    /** One attempt at one upstream; outcomes that arrive after its end are dropped. */
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
                onFailure(
                        mUpstream,
                        AttemptFailure.refused(failure.kind(), failure.retryAfterMilliseconds()));
            }
        }

        @Override
        public void onLost(boolean sent) {
            if (mAttempt != this) {
                return;
            }
            mAttempt = null;
            mLastFailure = null;
            onFailure(mUpstream, sent ? AttemptFailure.lostLink() : AttemptFailure.notSent());
        }
    }
}
