package org.foxtailmoor.standins.platform;

import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.Future;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.foxtailmoor.standins.http.HttpCall;
import org.foxtailmoor.standins.http.HttpReply;
import org.foxtailmoor.standins.http.HttpService;
import org.foxtailmoor.standins.platform.RevisionHistory.Publication;

/** Answers readers: values, the instance list and watches on both. */
final class ReadService implements HttpService {
    private static final String VALUES_PREFIX = "/v1/values/";
    private static final String INSTANCES_PATH = "/v1/instances";
    private static final String REVISION = "Revision";
    private static final long MAXIMUM_WAIT_MILLISECONDS = 300_000;

    private final EventExecutor mLoop;
    private final PlatformState mState;
    private final CallBudget mBudget;

    /** What one call asks for: how to look it up and whether its source is out of order. */
    private record Subject(
            Supplier<Publication> lookup,
            BooleanSupplier outage,
            CallBudget.Kind readKind,
            CallBudget.Kind watchKind) {}

    ReadService(EventExecutor loop, PlatformState state, CallBudget budget) {
        mLoop = loop;
        mState = state;
        mBudget = budget;
    }

    @Override
    public CompletionStage<HttpReply> answer(HttpCall call) {
        Subject subject = subjectOf(call);
        if (subject == null) {
            return CompletableFuture.completedFuture(HttpReply.of(404));
        }
        long after = call.parameter("after", -1);
        long wait = Math.min(call.parameter("wait_milliseconds", 0), MAXIMUM_WAIT_MILLISECONDS);
        boolean watch = call.parameters().containsKey("after");
        if (!mBudget.tryCall(watch ? subject.watchKind() : subject.readKind())) {
            String seconds = Long.toString(mBudget.retryAfterSeconds());
            return delayed(HttpReply.of(429).withHeader("Retry-After", seconds));
        }
        if (subject.outage().getAsBoolean()) {
            return delayed(HttpReply.of(503));
        }
        if (!watch) {
            return delayed(replyOf(subject.lookup().get(), 404));
        }
        return new Watch(subject, after).start(wait, call).thenCompose(this::delayed);
    }

    private Subject subjectOf(HttpCall call) {
        if (!call.method().equals("GET")) {
            return null;
        }
        if (call.path().equals(INSTANCES_PATH)) {
            return new Subject(
                    mState::visibleInstances,
                    () -> mState.faults().instancesOutage(),
                    CallBudget.Kind.INSTANCE_READS,
                    CallBudget.Kind.INSTANCE_WATCHES);
        }
        if (call.path().startsWith(VALUES_PREFIX)) {
            String key = call.path().substring(VALUES_PREFIX.length());
            return new Subject(
                    () -> mState.visibleValue(key),
                    () -> mState.faults().valuesOutage(),
                    CallBudget.Kind.VALUE_READS,
                    CallBudget.Kind.VALUE_WATCHES);
        }
        return null;
    }

    private HttpReply replyOf(Publication publication, int statusIfAbsent) {
        if (publication == null) {
            return HttpReply.of(statusIfAbsent);
        }
        mBudget.addBytes(publication.content().length);
        String revision = Long.toString(publication.revision());
        return new HttpReply(200, Map.of(REVISION, revision), publication.content());
    }

    private CompletionStage<HttpReply> delayed(HttpReply reply) {
        int delay = mState.faults().answerDelayMilliseconds();
        if (delay == 0) {
            return CompletableFuture.completedFuture(reply);
        }
        CompletableFuture<HttpReply> later = new CompletableFuture<>();
        mLoop.schedule(() -> later.complete(reply), delay, TimeUnit.MILLISECONDS);
        return later;
    }

    /** One waiting call. It ends with a newer publication, an outage, the time or its caller. */
    private final class Watch {
        private final Subject mSubject;
        private final long mAfter;
        private final CompletableFuture<HttpReply> mReply = new CompletableFuture<>();
        private final Runnable mListener = this::check;
        private Future<?> mTimer;

        Watch(Subject subject, long after) {
            mSubject = subject;
            mAfter = after;
        }

        CompletionStage<HttpReply> start(long waitMilliseconds, HttpCall call) {
            mBudget.addWaiting(1);
            mState.addListener(mListener);
            mTimer =
                    mLoop.schedule(
                            () -> end(HttpReply.of(204)), waitMilliseconds, TimeUnit.MILLISECONDS);
            call.ifClosedBefore(mReply, () -> end(HttpReply.of(204)));
            check();
            return mReply;
        }

        private void check() {
            if (mSubject.outage().getAsBoolean()) {
                end(HttpReply.of(503));
                return;
            }
            Publication publication = mSubject.lookup().get();
            if (publication != null && publication.revision() > mAfter) {
                end(replyOf(publication, 204));
            }
        }

        private void end(HttpReply reply) {
            if (mReply.isDone()) {
                return;
            }
            mTimer.cancel(false);
            mState.removeListener(mListener);
            mBudget.addWaiting(-1);
            mReply.complete(reply);
        }
    }
}
