package org.foxtailmoor.scenarios.processes;

import java.net.InetSocketAddress;
import org.foxtailmoor.standins.http.HttpAnswer;
import org.foxtailmoor.standins.load.LoadRequest;
import org.foxtailmoor.standins.load.Verdict;
import org.foxtailmoor.standins.target.AnswerBody;

/**
 * What a caller saw of one attempt of a request.
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
    private static final char ATTEMPT_MARK = '#';

    /** Returns the request for another attempt: the same key and body with an id of its own. */
    static LoadRequest attempt(LoadRequest request, int number) {
        return new LoadRequest(
                request.kind(),
                baseOf(request.id()) + ATTEMPT_MARK + number,
                request.key(),
                request.body());
    }

    /** Returns the verdict; an answer to another attempt with the same key is right as well. */
    Verdict verdict() {
        LoadRequest judged = request;
        if (answer != null && request.key() != null) {
            String answered = answer.header(AnswerBody.REQUEST_IDENTIFIER);
            if (baseOf(answered).equals(baseOf(request.id()))) {
                judged = new LoadRequest(request.kind(), answered, request.key(), request.body());
            }
        }
        return Verdict.of(judged, answer, failure);
    }

    /** Returns whether the caller took an answer for whole and right that is not. */
    boolean isFalseSuccess() {
        return answer != null && answer.status() == STATUS_OK && verdict() != Verdict.RIGHT;
    }

    /** Returns the error kind that the answer names, or an empty text. */
    String error() {
        return answer == null ? "" : answer.header("Foxtailmoor-Error");
    }

    @Override
    public String toString() {
        String seen =
                answer == null
                        ? String.valueOf(failure)
                        : answer.status() + " " + error() + ", " + answer.body().length + " bytes";
        return request.kind().name()
                + " "
                + request.id()
                + " by port "
                + entry.getPort()
                + ": "
                + verdict()
                + ", "
                + seen;
    }

    private static String baseOf(String id) {
        int mark = id.indexOf(ATTEMPT_MARK);
        return mark < 0 ? id : id.substring(0, mark);
    }
}
