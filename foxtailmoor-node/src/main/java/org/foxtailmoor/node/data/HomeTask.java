package org.foxtailmoor.node.data;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.core.admission.TargetLoad;
import org.foxtailmoor.core.home.Fingerprint;
import org.foxtailmoor.core.home.HomeRequest;
import org.foxtailmoor.core.home.StoredAnswer;
import org.foxtailmoor.core.home.TargetHealth;
import org.foxtailmoor.core.routing.IdempotencyKey;
import org.foxtailmoor.core.routing.Route;
import org.foxtailmoor.node.trace.Hop;
import org.foxtailmoor.protocol.generated.Header;
import org.foxtailmoor.protocol.generated.RequestStart;

/** One request at its home node, from complete arrival to outcome. */
final class HomeTask implements HomeRequest, TargetListener {
    private static final byte[] EMPTY_BYTES = {};

    private final HomeGateway mHome;
    private final HomeCall mCall;
    private final Route mRoute;
    private final IdempotencyKey mKey;
    private final Fingerprint mFingerprint;
    private final Fingerprint mCrashFingerprint;
    private final Hop mHop;
    private final long mStartedNanoseconds;
    private OutcomeListener mListener;
    private Cancellable mTargetCall;
    private Outcome.Failure mLastFailure;
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
                        call.start().getMethod(),
                        call.start().getPath(),
                        call.body().content().nioBuffer());
        mCrashFingerprint =
                mFingerprint.withOrigin(
                        findHeader(HttpHeaderNames.HOST),
                        findHeader(home.headers().callerService()));
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
    public Fingerprint crashFingerprint() {
        return mCrashFingerprint;
    }

    @Override
    public String instanceId() {
        return mCall.start().getInstanceId();
    }

    @Override
    public long deadlineNanoseconds() {
        return mCall.deadlineNanoseconds();
    }

    @Override
    public String callerService() {
        return findHeader(mHome.headers().callerService());
    }

    @Override
    public String kind() {
        return mCall.start().getRouteId();
    }

    @Override
    public int priority() {
        return mCall.start().getPriority();
    }

    @Override
    public long objectiveNanoseconds() {
        return mCall.objectiveNanoseconds();
    }

    @Override
    public int bodyBytes() {
        return mCall.start().getBodyBytes();
    }

    @Override
    public void dispatch() {
        RequestStart start = mCall.start();
        mDispatchedNanoseconds = mHome.ticker().nanoTime();
        if (!mHome.maySend(start, mCall.deadlineNanoseconds())) {
            mTargetCall = Cancellable.NONE;
            mHome.refuseAtDispatch(this);
            return;
        }
        mTargetCall =
                mHome.target()
                        .send(
                                new TargetRequest(
                                        start.getMethod(),
                                        start.getPath(),
                                        HeaderFields.withTrace(
                                                start.getHeadersList(), mHop.traceparent()),
                                        start.getInstanceId(),
                                        mCall.body(),
                                        mCall.deadlineNanoseconds(),
                                        start.getIdempotent()),
                                this);
    }

    @Override
    public void abort() {
        mTargetCall.cancel();
    }

    @Override
    public void answer(StoredAnswer answer) {
        mHome.metrics().homeReplayed().inc();
        BodyCollector body = mHome.newCollector(answer.body().length);
        if (body == null) {
            // The request has run, so an error kind that implies "not run" would be wrong.
            end(Outcome.Failure.of(ErrorKind.ALREADY_RUN, "no memory to repeat the answer"));
            return;
        }
        body.append(Unpooled.wrappedBuffer(answer.body()));
        end(new Outcome.Answer(answer.status(), answer.headers(), body.finish(), true));
    }

    @Override
    public void refuse(ErrorKind kind, int retryAfterMilliseconds) {
        mHome.metrics().countHomeRefusal(kind);
        end(newFailure(kind, retryAfterMilliseconds));
    }

    @Override
    public boolean confirmSend() {
        return mHome.decisions().confirmDispatch(this);
    }

    @Override
    public void onSent() {
        TargetHealth health = mHome.decisions().targetHealth();
        if (health != null) {
            health.onRequestSent(mHome.ticker().nanoTime() - mDispatchedNanoseconds);
        }
    }

    @Override
    public void onAnswer(Outcome.Answer answer) {
        recordTargetLoad(answer);
        long time = mHome.ticker().nanoTime() - mDispatchedNanoseconds;
        mHome.metrics().targetDuration().update(time, TimeUnit.NANOSECONDS);
        byte[] stored = mKey == null ? EMPTY_BYTES : copyBytes(answer.body());
        List<Header> headers = mKey == null ? List.of() : answer.headers();
        mHome.decisions().completed(this, new StoredAnswer(answer.status(), headers, stored));
        // Entry nodes compare the speeds of targets only in deployments whose targets state them.
        end(
                mHome.headers().targetLoad().isEmpty()
                        ? answer
                        : answer.withTargetMicroseconds(
                                (int) Math.max(1, TimeUnit.NANOSECONDS.toMicros(time))));
    }

    @Override
    public void onFailure(Outcome.Failure failure, boolean crashed) {
        mLastFailure = failure;
        if (crashed) {
            mHome.onCrash(this);
        } else if (failure.kind().isNotRun()) {
            mHome.decisions().notRun(this, failure.kind());
        } else {
            mHome.decisions().failed(this, failure.kind());
        }
    }

    /** Returns the request as received. */
    RequestStart start() {
        return mCall.start();
    }

    /**
     * Cancels the request for its caller. A request with an idempotency key that has reached the
     * target continues, so that a retry finds its outcome.
     */
    void cancel() {
        if (mEnded) {
            return;
        }
        mListener = null;
        switch (mHome.decisions().cancel(this)) {
            case NOT_RUN, ENDED -> end(newFailure(ErrorKind.CANCELLED, 0));
            case CANCEL_AT_TARGET -> {
                mTargetCall.cancel();
                mHome.decisions().failed(this, ErrorKind.CANCELLED);
            }
            default -> {
                // The request continues without a listener.
            }
        }
    }

    /** Returns whether the request has been dispatched. */
    boolean isDispatched() {
        return mTargetCall != null;
    }

    /** Ends the request because the node shuts down. */
    void endByShutdown() {
        if (mEnded) {
            return;
        }
        switch (mHome.decisions().cancel(this)) {
            case NOT_RUN, ENDED -> end(newFailure(ErrorKind.LEAVING, 0));
            case CANCEL_AT_TARGET -> {
                mTargetCall.cancel();
                mHome.decisions().failed(this, ErrorKind.UPSTREAM_FAILED);
            }
            default -> {
                // The closing link or connection reports that the outcome is unknown.
            }
        }
    }

    private Outcome.Failure newFailure(ErrorKind kind, int retryAfterMilliseconds) {
        boolean explained = mLastFailure != null && mLastFailure.kind() == kind;
        String message = explained ? mLastFailure.message() : ErrorMessages.of(kind);
        if (kind == ErrorKind.QUARANTINED) {
            message += ", fingerprint " + mCrashFingerprint.toHex();
        }
        return new Outcome.Failure(
                kind, message, retryAfterMilliseconds, mHome.crashCounts(mCrashFingerprint));
    }

    private void end(Outcome outcome) {
        if (mEnded) {
            outcome.release();
            return;
        }
        mEnded = true;
        mHome.onEnded(this);
        mCall.body().release();
        long duration = mHome.ticker().nanoTime() - mStartedNanoseconds;
        mHome.metrics().homeDuration().update(duration, TimeUnit.NANOSECONDS);
        if (outcome instanceof Outcome.Failure failure) {
            mHome.logFailure(mCall.start(), failure.kind(), failure.message());
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

    private void recordTargetLoad(Outcome.Answer answer) {
        TargetLoad load =
                TargetLoad.parse(HeaderFields.find(answer.headers(), mHome.headers().targetLoad()));
        if (load != null) {
            mHome.decisions().onTargetLoad(load);
        }
    }

    private String findHeader(CharSequence name) {
        String value = HeaderFields.find(mCall.start().getHeadersList(), name);
        return value == null ? "" : value;
    }

    private static byte[] copyBytes(BufferedBody body) {
        return body.length() == 0 ? EMPTY_BYTES : ByteBufUtil.getBytes(body.content());
    }
}
