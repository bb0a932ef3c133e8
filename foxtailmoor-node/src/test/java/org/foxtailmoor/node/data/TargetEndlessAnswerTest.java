package org.foxtailmoor.node.data;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against targets that send bytes without end until the node closes the connection. */
@Timeout(60)
class TargetEndlessAnswerTest {
    private static final int BODY_MEMORY_BYTES = 65_536;
    private static final int SLOTS = 4;
    private static final int DEADLINE_MILLISECONDS = 5_000;

    /** Shorter than the idle timeout of connections to the target. */
    private static final int MAX_CLOSE_SECONDS = 5;

    /** Covers the bytes that the node reads and the socket buffers of both sides. */
    private static final long MAX_SENT_BYTES = 32L << 20;

    private final TestFleet mFleet = new TestFleet();
    private FakeTarget mTarget;
    private TestFleet.Node mHome;
    private RawCaller mCaller;
    private InetSocketAddress mCallerAddress;

    @BeforeEach
    void start() throws Exception {
        mTarget = new FakeTarget();
        String memory = "body_memory_bytes = " + BODY_MEMORY_BYTES;
        TestFleet.Node entry = mFleet.add("lookup-1", TestFleet.LOOKUPS, mTarget.address(), memory);
        mHome = mFleet.add("order-1", TestFleet.ORDERS, mTarget.address(), memory);
        mFleet.publish();
        mCallerAddress = entry.data().callerAddress();
        mCaller = new RawCaller(mCallerAddress);
    }

    @AfterEach
    void stop() throws Exception {
        mCaller.close();
        mFleet.close();
        mTarget.close();
    }

    /** Each answer is sent more often than the target has slots, on one connection of a caller. */
    @ParameterizedTest
    @EnumSource
    void endlessAnswerClosesOnlyTheConnectionToTheTarget(EndlessAnswer kind) throws Exception {
        for (int i = 0; i <= SLOTS; i++) {
            send(DEADLINE_MILLISECONDS);
            FakeTarget.Received received = mTarget.take();
            assertThat(received.sendWithoutEnd(kind.start(), kind.repeated(), MAX_SENT_BYTES))
                    .isLessThan(MAX_SENT_BYTES);
            RawCaller.Answer answer = mCaller.read();
            if (kind.isComplete()) {
                assertThat(answer.status()).isEqualTo(200);
                assertThat(answer.body()).isEqualTo("done");
            } else {
                assertThat(answer.headers()).containsEntry("foxtailmoor-error", "OUTCOME_UNKNOWN");
            }
            assertThat(mFleet.onLoop(this::reservedBytes)).isZero();
        }
        assertNextRequestIsAnswered();
    }

    /** Guards against reuse of a connection that holds a part of what followed an answer. */
    @ParameterizedTest
    @ValueSource(strings = {"x", "nonsense", "HTTP/1.1 200 OK\r\n", "\r\n", "0\r\n\r\n"})
    void connectionWithBytesAfterAnAnswerIsNotReused(String extra) throws Exception {
        send(DEADLINE_MILLISECONDS);
        FakeTarget.Received first = mTarget.take();
        first.send(EndlessAnswer.COMPLETE_ANSWER + extra);
        assertThat(mCaller.read().body()).isEqualTo("done");
        FakeTarget.Received second = assertNextRequestIsAnswered();
        assertThat(second.socket()).isNotSameAs(first.socket());
        mTarget.connectionClosed().get(MAX_CLOSE_SECONDS, TimeUnit.SECONDS);
    }

    /** Guards against a failure that becomes a success behind the head that preceded it. */
    @Test
    void headAfterAnAnswerDoesNotBecomeTheNextAnswer() throws Exception {
        send(DEADLINE_MILLISECONDS);
        mTarget.take().send(EndlessAnswer.COMPLETE_ANSWER + "HTTP/1.1 200 OK\r\na: ");
        mCaller.read();
        send(DEADLINE_MILLISECONDS);
        mTarget.take().send(EndlessAnswer.COMPLETE_ANSWER.replace("200 OK", "500 x"));
        assertThat(mCaller.read().status()).isEqualTo(500);
    }

    /** Guards against an idle connection that collects bytes until the next answer. */
    @ParameterizedTest
    @ValueSource(strings = {"x", "\r\n"})
    void idleConnectionIsClosedByBytesThatFollow(String extra) throws Exception {
        send(DEADLINE_MILLISECONDS);
        FakeTarget.Received first = mTarget.take();
        first.send(EndlessAnswer.COMPLETE_ANSWER);
        assertThat(mCaller.read().body()).isEqualTo("done");
        first.send(extra);
        mTarget.connectionClosed().get(MAX_CLOSE_SECONDS, TimeUnit.SECONDS);
        assertNextRequestIsAnswered();
    }

    @ParameterizedTest
    @EnumSource(
            names = {"STATUS_LINE", "INTERIM_ANSWERS", "HEADER_LINES", "CHUNKS", "TRAILER_LINES"})
    void slowEndlessAnswerEndsAtTheDeadline(EndlessAnswer kind) throws Exception {
        send(200);
        FakeTarget.Received received = mTarget.take();
        received.send(kind.start() + kind.repeated());
        RawCaller.Answer answer = mCaller.read();
        assertThat(answer.status()).isEqualTo(504);
        assertThat(answer.headers()).containsEntry("foxtailmoor-outcome", "unknown");
        mTarget.connectionClosed().get(MAX_CLOSE_SECONDS, TimeUnit.SECONDS);
        assertThat(mFleet.onLoop(this::reservedBytes)).isZero();
        assertNextRequestIsAnswered();
    }

    @ParameterizedTest
    @EnumSource(names = {"STATUS_LINE", "INTERIM_ANSWERS", "BODY_WITHOUT_LENGTH"})
    void endlessAnswerToAnIdempotentRequestIsABadGateway(EndlessAnswer kind) throws Exception {
        send("/racks/1", DEADLINE_MILLISECONDS);
        mTarget.take().sendWithoutEnd(kind.start(), kind.repeated(), MAX_SENT_BYTES);
        assertThat(mCaller.read().status()).isEqualTo(502);
    }

    @Test
    void callerThatLeavesEndsASlowEndlessAnswer() throws Exception {
        send(DEADLINE_MILLISECONDS);
        FakeTarget.Received received = mTarget.take();
        received.send(EndlessAnswer.CHUNKS.start() + EndlessAnswer.CHUNKS.repeated());
        mCaller.close();
        mTarget.connectionClosed().get(MAX_CLOSE_SECONDS, TimeUnit.SECONDS);
        assertThat(mFleet.onLoop(this::reservedBytes)).isZero();
    }

    /**
     * Guards against a faulty target that takes the body memory from the other callers: its answers
     * grow slowly and stay open, one for each slot.
     */
    @Test
    void openEndlessAnswersLeaveMemoryForUploads() throws Exception {
        List<RawCaller> callers = new ArrayList<>();
        int answerBytes = BODY_MEMORY_BYTES / SLOTS - 100;
        for (int i = 0; i < SLOTS; i++) {
            RawCaller caller = new RawCaller(mCallerAddress);
            callers.add(caller);
            caller.send(request("GET", "/orders/" + i, DEADLINE_MILLISECONDS, ""));
            FakeTarget.Received received = mTarget.take();
            received.send(EndlessAnswer.BODY_WITHOUT_LENGTH.start() + "x".repeat(answerBytes));
        }
        awaitReserved((SLOTS - 1) * answerBytes);
        String body = "y".repeat(BODY_MEMORY_BYTES / 8);
        mCaller.send(request("POST", "/orders/upload", DEADLINE_MILLISECONDS, body));
        FakeTarget.Received upload = mTarget.take();
        assertThat(upload.body()).hasSize(body.length());
        upload.send(EndlessAnswer.COMPLETE_ANSWER);
        assertThat(mCaller.read().status()).isEqualTo(200);
        for (RawCaller caller : callers) {
            caller.close();
        }
    }

    /** Guards against one answer without end that fills the memory of all others. */
    @Test
    void oneAnswerIsLimitedToAPartOfTheMemory() throws Exception {
        send(DEADLINE_MILLISECONDS);
        FakeTarget.Received received = mTarget.take();
        received.send(
                EndlessAnswer.BODY_WITHOUT_LENGTH.start() + "x".repeat(BODY_MEMORY_BYTES / 2));
        assertThat(mCaller.read().headers()).containsEntry("foxtailmoor-error", "OUTCOME_UNKNOWN");
        assertNextRequestIsAnswered();
    }

    private void awaitReserved(long bytes) throws Exception {
        while (mFleet.onLoop(this::reservedBytes) < bytes) {
            Thread.onSpinWait();
        }
    }

    private FakeTarget.Received assertNextRequestIsAnswered() throws Exception {
        send(DEADLINE_MILLISECONDS);
        FakeTarget.Received received = mTarget.take();
        received.send(EndlessAnswer.COMPLETE_ANSWER);
        assertThat(mCaller.read().body()).isEqualTo("done");
        return received;
    }

    private void send(int deadlineMilliseconds) throws Exception {
        send("/orders/1", deadlineMilliseconds);
    }

    private void send(String path, int deadlineMilliseconds) throws Exception {
        mCaller.send(request("GET", path, deadlineMilliseconds, ""));
    }

    private static String request(
            String method, String path, int deadlineMilliseconds, String body) {
        return method
                + " "
                + path
                + " HTTP/1.1\r\nHost: a\r\nFoxtailmoor-Request-Id: "
                + EndlessAnswer.REQUEST_ID
                + "\r\nFoxtailmoor-Deadline-Milliseconds: "
                + deadlineMilliseconds
                + (body.isEmpty() ? "" : "\r\nContent-Length: " + body.length())
                + "\r\n\r\n"
                + body;
    }

    private long reservedBytes() {
        return (Long)
                mHome.metrics().getGauges().get("foxtailmoor.bodies.reserved_bytes").getValue();
    }
}
