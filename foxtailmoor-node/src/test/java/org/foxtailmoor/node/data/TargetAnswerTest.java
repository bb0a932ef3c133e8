package org.foxtailmoor.node.data;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests which answers of a target reach a caller, beside the target and behind another node. */
@Timeout(60)
class TargetAnswerTest {
    private static final int DEADLINE_MILLISECONDS = 5_000;
    private static final int MAX_CLOSE_SECONDS = 5;
    private static final String ID =
            HeaderNames.DEFAULT.requestId() + ": " + EndlessAnswer.REQUEST_ID + "\r\n";

    private final TestFleet mFleet =
            new TestFleet(
                    new PlacementPolicies(HeaderNames.DEFAULT, () -> TestFleet.LOOKUPS, 1, 100));
    private FakeTarget mTarget;
    private TestFleet.Node mOtherNode;
    private TestFleet.Node mHome;

    @BeforeEach
    void start() throws Exception {
        mTarget = new FakeTarget();
        mOtherNode = mFleet.add("lookup-1", TestFleet.LOOKUPS, mTarget.address());
        mHome = mFleet.add("order-1", TestFleet.ORDERS, mTarget.address());
        mFleet.publish();
    }

    @AfterEach
    void stop() throws Exception {
        mFleet.close();
        mTarget.close();
    }

    /** Tests that both places of a caller have in common. */
    abstract class Answers {
        private RawCaller mCaller;

        /** Returns the node that the caller sends its requests to. */
        abstract TestFleet.Node entry();

        @BeforeEach
        void connect() throws Exception {
            mCaller = new RawCaller(entry().data().callerAddress());
        }

        @AfterEach
        void disconnect() throws Exception {
            mCaller.close();
        }

        @ParameterizedTest
        @EnumSource
        void invalidAnswerIsABadGatewayAndIsNotRepeated(InvalidAnswer invalid) throws Exception {
            FakeTarget.Received received = send("POST");
            received.send(invalid.text());
            received.endOutput();
            RawCaller.Answer answer = mCaller.read();
            assertThat(answer.status()).isEqualTo(502);
            assertThat(answer.headers())
                    .containsEntry("foxtailmoor-error", "UPSTREAM_FAILED")
                    .doesNotContainKey(HeaderNames.DEFAULT.requestId().toString());
            mTarget.connectionClosed().get(MAX_CLOSE_SECONDS, TimeUnit.SECONDS);
            assertThat(mTarget.queuedRequests()).isZero();
            assertNextRequestIsAnswered();
        }

        /** Guards against an error that passes the invalid bytes on. */
        @ParameterizedTest
        @ValueSource(strings = {"SECRET/9.9 200 OK", "HTTP/1.1 200 OK\r\nSEC\u0001RET: SECRET"})
        void errorDoesNotRepeatTheBytesOfTheTarget(String start) throws Exception {
            send("POST").send(start + "\r\n\r\n");
            RawCaller.Answer answer = mCaller.read();
            assertThat(answer.status()).isEqualTo(502);
            assertThat(answer.body()).contains("not valid HTTP").doesNotContain("SECRET", "\u0001");
        }

        @ParameterizedTest
        @EnumSource
        void validAnswerReachesTheCaller(ValidAnswer valid) throws Exception {
            FakeTarget.Received received = send("POST");
            received.send(valid.text());
            received.endOutput();
            RawCaller.Answer answer = mCaller.read();
            assertThat(answer.status()).isEqualTo(valid.status());
            assertThat(answer.body()).isEqualTo(valid.body());
            assertThat(answer.headers()).doesNotContainKey("foxtailmoor-error");
            assertNextRequestIsAnswered();
        }

        @Test
        void answerToAHeadRequestHasALengthAndNoBody() throws Exception {
            send("HEAD").send("HTTP/1.1 200 OK\r\n" + ID + "Content-Length: 4\r\n\r\n");
            RawCaller.Answer answer = mCaller.read(true);
            assertThat(answer.status()).isEqualTo(200);
            assertThat(answer.headers()).containsEntry("content-length", "4");
            assertNextRequestIsAnswered();
        }

        @Test
        void answerToAHeadRequestMayNameAChunkedBody() throws Exception {
            send("HEAD").send("HTTP/1.1 200 OK\r\n" + ID + "Transfer-Encoding: chunked\r\n\r\n");
            assertThat(mCaller.read(true).status()).isEqualTo(200);
            assertNextRequestIsAnswered();
        }

        private FakeTarget.Received send(String method) throws Exception {
            mCaller.send(
                    method
                            + " /orders/1 HTTP/1.1\r\nHost: a\r\n"
                            + ID
                            + HeaderNames.DEFAULT.deadline()
                            + ": "
                            + DEADLINE_MILLISECONDS
                            + (method.equals("POST") ? "\r\nContent-Length: 4\r\n" : "\r\n")
                            + (method.equals("POST") ? "\r\nmaps" : "\r\n"));
            return mTarget.take();
        }

        private void assertNextRequestIsAnswered() throws Exception {
            send("GET").send(EndlessAnswer.COMPLETE_ANSWER);
            assertThat(mCaller.read().body()).isEqualTo("done");
        }
    }

    @Nested
    class ForACallerBesideTheTarget extends Answers {
        @Override
        TestFleet.Node entry() {
            return mHome;
        }
    }

    @Nested
    class ForACallerBehindAnotherNode extends Answers {
        /** Adds an upstream to which a failed request could be sent again. */
        @BeforeEach
        void addUpstream() throws Exception {
            mFleet.add("order-2", TestFleet.ORDERS, mTarget.address());
            mFleet.publish();
        }

        @Override
        TestFleet.Node entry() {
            return mOtherNode;
        }
    }
}
