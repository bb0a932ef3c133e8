package org.foxtailmoor.standins.load;

import java.nio.charset.StandardCharsets;
import org.foxtailmoor.standins.http.CallFailure;
import org.foxtailmoor.standins.http.HttpAnswer;
import org.foxtailmoor.standins.target.AnswerBody;

/** Judges the answer to one request. */
public enum Verdict {
    /** Whole and right. */
    RIGHT,
    /** Cut short, or not matching its checksum. */
    TRUNCATED,
    /** The answer to another request. */
    CROSSED,
    /** Whole and of this request, but with a wrong content, or the target got a wrong body. */
    WRONG,
    /** Refused, and stated not to have run. */
    NOT_RUN,
    /** An error that does not say whether the request ran, or no answer. */
    UNKNOWN;

    private static final int STATUS_OK = 200;

    /**
     * Judges an answer.
     *
     * @param request request that was sent, not null
     * @param answer answer, null after a failure
     * @param failure failure of the call, null if there is an answer
     */
    public static Verdict of(LoadRequest request, HttpAnswer answer, Throwable failure) {
        if (failure != null) {
            boolean truncated =
                    failure instanceof CallFailure call
                            && call.reason() == CallFailure.Reason.TRUNCATED;
            return truncated ? TRUNCATED : UNKNOWN;
        }
        if (answer.status() != STATUS_OK) {
            return answer.header("Foxtailmoor-Outcome").equals("not-run") ? NOT_RUN : UNKNOWN;
        }
        return ofSuccess(request, answer);
    }

    private static Verdict ofSuccess(LoadRequest request, HttpAnswer answer) {
        String text = new String(answer.body(), StandardCharsets.ISO_8859_1);
        int lineEnd = text.indexOf('\n');
        boolean foreign = lineEnd >= 0 && !text.substring(0, lineEnd).equals(request.id());
        if (foreign || !answer.header(AnswerBody.REQUEST_IDENTIFIER).equals(request.id())) {
            return CROSSED;
        }
        String checksum = AnswerBody.checksum(answer.body());
        if (!checksum.equals(answer.header(AnswerBody.BODY_CHECKSUM))) {
            return TRUNCATED;
        }
        boolean right =
                answer.body().length == request.kind().answerBytes()
                        && AnswerBody.isAnswerTo(request.id(), answer.body())
                        && AnswerBody.checksum(request.body())
                                .equals(answer.header(AnswerBody.RECEIVED_CHECKSUM));
        return right ? RIGHT : WRONG;
    }
}
