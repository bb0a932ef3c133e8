package org.foxtailmoor.node.data;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.core.home.Fingerprint;
import org.foxtailmoor.core.home.HomeRequest;
import org.foxtailmoor.core.home.StoredAnswer;
import org.foxtailmoor.core.routing.IdempotencyKey;
import org.foxtailmoor.core.routing.Route;
import org.foxtailmoor.node.trace.Hop;
import org.foxtailmoor.protocol.generated.Header;
import org.foxtailmoor.protocol.generated.RequestStart;

/** One request at its home, from its whole arrival to its outcome. */
final class HomeTask implements HomeRequest, TargetListener {
    private static final byte[] NO_BYTES = {};

    private final HomeGateway mHome;
    private final HomeCall mCall;
    private final Route mRoute;
    private final IdempotencyKey mKey;
    private final Fingerprint mFingerprint;
    private final Hop mHop;
    private final long mStartedNanoseconds;
    private OutcomeListener mListener;
    private Cancellable mTargetCall;
    private long mDispatchedNanoseconds;
    private boolean mEnded;

    HomeTask(
            HomeGateway home,
            HomeCall call,
            Route route,
            IdempotencyKey key,
            Hop hop,
            OutcomeListener listener) {
        mHome = home;
        mCall = call;
        mRoute = route;
        mKey = key;
        mHop = hop;
        mListener = listener;
        mStartedNanoseconds = home.ticker().nanoTime();
        mFingerprint =
                Fingerprint.of(
                        call.start().getMethod(), call.start().getPath(), bytesOf(call.body()));
    }

    @Override
    public Route route() {
        return mRoute;
    }

    @Override
    public IdempotencyKey key() {
        return mKey;
    }

    @Override
    public Fingerprint fingerprint() {
        return mFingerprint;
    }

    @Override
    public long deadlineNanoseconds() {
        return mCall.deadlineNanoseconds();
    }

    @Override
    public void dispatch() {
        RequestStart start = mCall.start();
        mDispatchedNanoseconds = mHome.ticker().nanoTime();
        mTargetCall =
                mHome.target()
                        .send(
                                new TargetRequest(
                                        start.getMethod(),
                                        start.getPath(),
                                        HeaderFields.withTrace(
                                                start.getHeadersList(), mHop.traceparent()),
                                        mCall.body(),
                                        mCall.deadlineNanoseconds(),
                                        mRoute.isIdempotent()),
                                this);
    }

    @Override
    public void answer(StoredAnswer answer) {
        mHome.metrics().homeReplayed().inc();
        BodyCollector body = mHome.collector(answer.body().length);
        if (body == null) {
            // The request has run, so that a refusal as not run would be wrong.
            end(Outcome.Failure.of(ErrorKind.ALREADY_RUN, "no memory to repeat the answer"));
            return;
        }
        body.append(Unpooled.wrappedBuffer(answer.body()));
        end(new Outcome.Answer(answer.status(), answer.headers(), body.finish(), true));
    }

    @Override
    public void refuse(ErrorKind kind, int retryAfterMilliseconds) {
        mHome.metrics().countHomeRefusal(kind);
        end(new Outcome.Failure(kind, ErrorMessages.of(kind), retryAfterMilliseconds));
    }

    @Override
    public void onAnswer(Outcome.Answer answer) {
        mHome.metrics()
                .targetDuration()
                .update(mHome.ticker().nanoTime() - mDispatchedNanoseconds, TimeUnit.NANOSECONDS);
        byte[] stored = mKey == null ? NO_BYTES : bytesOf(answer.body());
        List<Header> headers = mKey == null ? List.of() : answer.headers();
        mHome.requests().completed(this, new StoredAnswer(answer.status(), headers, stored));
        end(answer);
    }

    @Override
    public void onFailure(Outcome.Failure failure, boolean crashed) {
        if (crashed) {
            mHome.onCrash(this);
            return;
        }
        if (failure.kind().isNotRun()) {
            mHome.requests().notRun(this);
            end(failure);
            return;
        }
        ErrorKind kind = mHome.requests().failed(this, failure.kind());
        end(Outcome.Failure.of(kind, failure.message()));
    }

    /** Ends the task after its crash was counted. */
    void endCrashed() {
        // The entry must not send the request to another target, which it could crash as well.
        boolean repeatable = mRoute.isIdempotent() && mKey == null;
        ErrorKind kind = repeatable ? ErrorKind.UPSTREAM_FAILED : ErrorKind.OUTCOME_UNKNOWN;
        end(Outcome.Failure.of(kind, "the target ended the connection during the request"));
    }

    /**
     * Ends the caller's interest. Work with an idempotency key that has reached the target goes on,
     * so that a repeat of the request finds its outcome.
     */
    void cancel() {
        if (mEnded) {
            return;
        }
        mListener = null;
        if (mHome.requests().cancel(this)) {
            end(Outcome.Failure.of(ErrorKind.CANCELLED, "cancelled while it waited"));
        } else if (mTargetCall != null && mKey == null) {
            mTargetCall.cancel();
            mHome.requests().failed(this, ErrorKind.CANCELLED);
            end(Outcome.Failure.of(ErrorKind.CANCELLED, "cancelled at the target"));
        }
    }

    private void end(Outcome outcome) {
        if (mEnded) {
            outcome.release();
            return;
        }
        mEnded = true;
        mCall.body().release();
        long duration = mHome.ticker().nanoTime() - mStartedNanoseconds;
        mHome.metrics().homeDuration().update(duration, TimeUnit.NANOSECONDS);
        if (outcome instanceof Outcome.Failure failure) {
            mHop.end(failure.kind().status(), failure.kind().name());
        } else if (outcome instanceof Outcome.Answer answer) {
            mHop.end(answer.status(), null);
        }
        if (mListener == null) {
            outcome.release();
        } else {
            mListener.onOutcome(outcome);
        }
    }

    private static byte[] bytesOf(HeldBody body) {
        return body.length() == 0 ? NO_BYTES : ByteBufUtil.getBytes(body.content());
    }
}
