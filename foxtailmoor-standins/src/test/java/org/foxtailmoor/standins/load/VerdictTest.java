package org.foxtailmoor.standins.load;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.util.Arrays;
import org.foxtailmoor.standins.http.HttpAnswer;
import org.foxtailmoor.standins.target.AnswerBody;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class VerdictTest {
    private final LoadRequest mRequest = LoadRequest.create(LoadKind.of("order", 1, "/orders"));

    private HttpAnswer answerFor(LoadRequest request, byte[] body, byte[] received) {
        byte[] whole = AnswerBody.of(request.id(), request.kind().answerBytes());
        HttpHeaders headers =
                new DefaultHttpHeaders()
                        .set(AnswerBody.REQUEST_IDENTIFIER, request.id())
                        .set(AnswerBody.BODY_CHECKSUM, AnswerBody.checksum(whole))
                        .set(AnswerBody.RECEIVED_CHECKSUM, AnswerBody.checksum(received));
        return new HttpAnswer(200, headers, body);
    }

    private byte[] wholeBody() {
        return AnswerBody.of(mRequest.id(), mRequest.kind().answerBytes());
    }

    private Verdict verdictOf(HttpAnswer answer) {
        return Verdict.of(mRequest, answer, null);
    }

    @Nested
    class Successes {
        @Test
        void wholeAnswerIsRight() {
            assertThat(verdictOf(answerFor(mRequest, wholeBody(), mRequest.body())))
                    .isEqualTo(Verdict.RIGHT);
        }

        /** Guards against counting an answer that lost its end as good. */
        @Test
        void shortBodyIsTruncated() {
            byte[] cut = Arrays.copyOf(wholeBody(), wholeBody().length - 1);
            assertThat(verdictOf(answerFor(mRequest, cut, mRequest.body())))
                    .isEqualTo(Verdict.TRUNCATED);
        }

        /** Guards against counting the answer of another request as good. */
        @Test
        void answerOfAnotherRequestIsCrossed() {
            LoadRequest other = LoadRequest.create(mRequest.kind());
            byte[] body = AnswerBody.of(other.id(), other.kind().answerBytes());
            assertThat(verdictOf(answerFor(other, body, mRequest.body())))
                    .isEqualTo(Verdict.CROSSED);
            assertThat(verdictOf(answerFor(mRequest, body, mRequest.body())))
                    .isEqualTo(Verdict.CROSSED);
        }

        /** Guards against missing a request body that was changed on its way to the target. */
        @Test
        void changedRequestBodyIsWrong() {
            assertThat(verdictOf(answerFor(mRequest, wholeBody(), new byte[] {1})))
                    .isEqualTo(Verdict.WRONG);
        }
    }

    @Nested
    class Errors {
        @Test
        void statedNotRunCountsApart() {
            HttpHeaders headers = new DefaultHttpHeaders().set("Foxtailmoor-Outcome", "not-run");
            assertThat(verdictOf(new HttpAnswer(503, headers, new byte[0])))
                    .isEqualTo(Verdict.NOT_RUN);
        }

        @Test
        void otherErrorsAndFailuresAreUnknown() {
            HttpAnswer error = new HttpAnswer(502, new DefaultHttpHeaders(), new byte[0]);
            assertThat(verdictOf(error)).isEqualTo(Verdict.UNKNOWN);
            assertThat(Verdict.of(mRequest, null, new IOException("closed")))
                    .isEqualTo(Verdict.UNKNOWN);
        }
    }
}
