package org.foxtailmoor.scenarios.processes;

import java.net.InetSocketAddress;
import org.foxtailmoor.standins.http.HttpAnswer;
import org.foxtailmoor.standins.load.LoadRequest;
import org.foxtailmoor.standins.load.Verdict;
import org.foxtailmoor.standins.target.AnswerBody;

/**
 * One attempt of a request and its outcome at the caller.
 *
 * @param request request with the id of this attempt
 * @param entry node that the caller sent it to
 * @param sentNanoseconds time of sending
 * @param answer answer, null after a failure
 * @param failure failure, null if there is an answer
 */
record CallRecord(
        LoadRequest request,
        InetSocketAddress entry,
        long sentNanoseconds,
        HttpAnswer answer,
        Throwable failure) {
    private static final int STATUS_OK = 200;
    private static final char ATTEMPT_SEPARATOR = '#';

    /** Returns the request for another attempt, with the same key and body and its own id. */
    static LoadRequest attempt(LoadRequest request, int number) {
        return new LoadRequest(
                request.kind(),
                withoutAttemptNumber(request.id()) + ATTEMPT_SEPARATOR + number,
                request.key(),
                request.body());
    }

    /** Returns the verdict; an answer to another attempt with the same key is also correct. */
    Verdict verdict() {
        LoadRequest answeredRequest = request;
        if (answer != null && request.key() != null) {
            String answeredId = answer.header(AnswerBody.REQUEST_IDENTIFIER);
            if (withoutAttemptNumber(answeredId).equals(withoutAttemptNumber(request.id()))) {
                answeredRequest =
                        new LoadRequest(request.kind(), answeredId, request.key(), request.body());
            }
        }
        return Verdict.of(answeredRequest, answer, failure);
    }

    /** Returns whether the status is 200 although the answer is truncated or incorrect. */
    boolean isFalseSuccess() {
        return answer != null && answer.status() == STATUS_OK && verdict() != Verdict.RIGHT;
    }

    /** Returns the error kind in the answer's header, or an empty string. */
    String error() {
        return answer == null ? "" : answer.header("Foxtailmoor-Error");
    }

    @Override
    public String toString() {
        String outcome =
                answer == null
                        ? String.valueOf(failure)
                        : answer.status() + " " + error() + ", " + answer.body().length + " bytes";
        return request.kind().name()
                + " "
                + request.id()
                + " through port "
                + entry.getPort()
                + ": "
                + verdict()
                + ", "
                + outcome;
    }

    private static String withoutAttemptNumber(String id) {
        int separator = id.indexOf(ATTEMPT_SEPARATOR);
        return separator < 0 ? id : id.substring(0, separator);
    }
}
