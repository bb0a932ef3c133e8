package org.foxtailmoor.standins.target;

import io.netty.util.concurrent.Future;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.standins.http.HttpAnswer;
import org.foxtailmoor.standins.http.HttpCall;
import org.foxtailmoor.standins.http.HttpReply;

/** One accepted request of a target, from its slot to its answer. */
final class TargetWork {
    private static final String FAULT = "Standin-Fault";
    private static final String SERVICE_TIME = "Standin-Service-Milliseconds";
    private static final String DEADLINE = "Foxtailmoor-Deadline-Milliseconds";
    private static final String KEY = "Idempotency-Key";

    /** Value of a number whose header is absent. */
    private static final String NONE = "-1";

    private static final Set<String> NON_IDEMPOTENT_METHODS = Set.of("POST", "PATCH");

    /** Faults that a request asks for by header or by query parameter, in lower case. */
    enum Fault {
        /** None. */
        NONE,
        /** The target crashes when the request starts. */
        CRASH,
        /** The connection goes silent for ever. */
        SILENT,
        /** The answer ends half way and the connection closes. */
        TRUNCATE,
        /** The answer has status 500. */
        ERROR;

        /** Returns the fault that a request asks for. */
        static Fault of(HttpCall call) {
            String parameter = call.parameter(FAULT.toLowerCase(Locale.ROOT), "none");
            String name = call.headers().get(FAULT, parameter);
            return valueOf(name.toUpperCase(Locale.ROOT));
        }
    }

    private final Target mTarget;
    private final HttpCall mCall;
    private final String mRequestId;
    private final long mArrivedNanoseconds;
    private final long mDeadlineMilliseconds;
    private final long mServiceMilliseconds;
    private final CompletableFuture<HttpReply> mReply = new CompletableFuture<>();
    private ExecutionLog.Execution mExecution;
    private Future<?> mServiceTimer;
    private Future<?> mDeadlineTimer;
    private CompletableFuture<HttpAnswer> mNextCall;

    /**
     * Creates work that waits for a slot.
     *
     * @throws IllegalArgumentException if a header that steers the work is not valid
     */
    TargetWork(Target target, HttpCall call) {
        mTarget = target;
        mCall = call;
        mRequestId = call.headers().get(AnswerBody.REQUEST_IDENTIFIER, "");
        mArrivedNanoseconds = target.loop().ticker().nanoTime();
        mDeadlineMilliseconds = Long.parseLong(call.headers().get(DEADLINE, NONE));
        mServiceMilliseconds = Long.parseLong(call.headers().get(SERVICE_TIME, NONE));
    }

    CompletableFuture<HttpReply> reply() {
        return mReply;
    }

    /** Runs the request in a slot. */
    void start() {
        long deadline = deadlineNanoseconds();
        if (deadline <= 0) {
            end(HttpReply.ofText(504, "deadline passed before the work started"), null);
            return;
        }
        if (NON_IDEMPOTENT_METHODS.contains(mCall.method()) || mCall.headers().contains(KEY)) {
            String key = mCall.headers().get(KEY, "");
            mExecution = mTarget.log().start(mTarget.id(), mRequestId, key, mCall.path());
        }
        if (Fault.of(mCall) == Fault.CRASH) {
            mTarget.crash();
            return;
        }
        if (deadline < Long.MAX_VALUE) {
            mDeadlineTimer =
                    mTarget.loop().schedule(this::endByDeadline, deadline, TimeUnit.NANOSECONDS);
        }
        long service = serviceNanoseconds();
        mServiceTimer = mTarget.loop().schedule(this::served, service, TimeUnit.NANOSECONDS);
    }

    /** Ends the work without an answer. */
    void abandon(ExecutionLog.Outcome outcome) {
        stop(outcome);
        mReply.cancel(false);
    }

    private void endByDeadline() {
        end(HttpReply.ofText(504, "deadline passed"), ExecutionLog.Outcome.DEADLINE);
    }

    private void served() {
        NextCaller next = mTarget.nextCaller();
        int depth = mCall.headers().getInt(NextCaller.DEPTH, 0);
        if (next == null || depth <= 0 || !mCall.headers().contains(NextCaller.PATH)) {
            answer();
            return;
        }
        mNextCall = next.call(mCall.headers(), mRequestId, depth, deadlineNanoseconds());
        mNextCall.whenCompleteAsync(this::nextAnswered, mTarget.loop());
    }

    private void nextAnswered(HttpAnswer answer, Throwable failure) {
        if (mReply.isDone()) {
            return;
        }
        boolean whole =
                failure == null
                        && answer.status() == 200
                        && AnswerBody.checksum(answer.body())
                                .equals(answer.header(AnswerBody.BODY_CHECKSUM));
        if (whole) {
            answer();
            return;
        }
        String reason = failure == null ? "status " + answer.status() : failure.toString();
        end(HttpReply.ofText(502, "next call: " + reason), ExecutionLog.Outcome.DONE);
    }

    private void answer() {
        Fault fault = Fault.of(mCall);
        if (fault == Fault.ERROR) {
            end(HttpReply.ofText(500, "error on request"), ExecutionLog.Outcome.DONE);
            return;
        }
        int size =
                mCall.headers().getInt(AnswerBody.ANSWER_BYTES, mTarget.behaviour().answerBytes());
        byte[] body = AnswerBody.of(mRequestId, size);
        Map<String, String> headers = new TreeMap<>();
        headers.put(AnswerBody.REQUEST_IDENTIFIER, mRequestId);
        headers.put(AnswerBody.TARGET_IDENTIFIER, mTarget.id());
        headers.put(AnswerBody.BODY_CHECKSUM, AnswerBody.checksum(body));
        headers.put(AnswerBody.RECEIVED_CHECKSUM, AnswerBody.checksum(mCall.body()));
        headers.put("Content-Type", "text/plain");
        HttpReply reply = new HttpReply(200, headers, body);
        if (fault == Fault.TRUNCATE) {
            stop(ExecutionLog.Outcome.DONE);
            mTarget.sendTruncated(mCall.channel(), reply);
            mTarget.finished(this);
            return;
        }
        end(reply, ExecutionLog.Outcome.DONE);
    }

    private void end(HttpReply reply, ExecutionLog.Outcome outcome) {
        stop(outcome);
        mReply.complete(reply);
        mTarget.finished(this);
    }

    private void stop(ExecutionLog.Outcome outcome) {
        if (mExecution != null) {
            mExecution.end(outcome);
        }
        if (mServiceTimer != null) {
            mServiceTimer.cancel(false);
        }
        if (mDeadlineTimer != null) {
            mDeadlineTimer.cancel(false);
        }
        if (mNextCall != null) {
            mNextCall.cancel(false);
        }
    }

    /** Returns the time left until the request's deadline, the largest number if it has none. */
    private long deadlineNanoseconds() {
        if (mDeadlineMilliseconds < 0) {
            return Long.MAX_VALUE;
        }
        long elapsed = mTarget.loop().ticker().nanoTime() - mArrivedNanoseconds;
        return TimeUnit.MILLISECONDS.toNanos(mDeadlineMilliseconds) - elapsed;
    }

    private long serviceNanoseconds() {
        if (mServiceMilliseconds < 0) {
            return mTarget.drawServiceNanoseconds();
        }
        return TimeUnit.MILLISECONDS.toNanos(mServiceMilliseconds);
    }
}
