package org.foxtailmoor.node.data;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against requests that a node takes late in its shutdown and breaks off at the end of it.
 * In each test the leaving node's own target is busy throughout, which keeps the caller port open.
 */
@Timeout(60)
class LateRequestTest {
    private static final long MARGIN_MILLISECONDS =
            TimeUnit.NANOSECONDS.toMillis(ShutdownWindow.ANSWER_MARGIN_NANOSECONDS);
    private static final long[] DEADLINES_MILLISECONDS = {200, 500, 1_000, 2_500, 5_000, 10_000};

    /** Covers the real time that a test takes between its steps. */
    private static final long TOLERANCE_MILLISECONDS = 1_000;

    private static final String ERROR_HEADER = "foxtailmoor-error";

    private static final Duration TIMEOUT = Duration.ofMillis(4_600);
    private static final long OPEN_MILLISECONDS = TIMEOUT.toMillis() / 2;

    private TestFleet mFleet;
    private FakeTarget mOwnTarget;
    private FakeTarget mOtherTarget;
    private TestFleet.Node mLeaving;
    private CompletableFuture<Void> mDrained;
    private final List<RawCaller> mCallers = new ArrayList<>();

    /** Starts a node that leaves while its target is busy, and one with the other service. */
    private void startLeaving(Duration timeout) throws Exception {
        mFleet = new TestFleet();
        mOwnTarget = new FakeTarget();
        mOtherTarget = new FakeTarget();
        mLeaving = mFleet.add("leaving", TestFleet.LOOKUPS, mOwnTarget.address());
        mFleet.add("staying", TestFleet.ORDERS, mOtherTarget.address());
        mFleet.publish();
        send("GET", "/racks/busy", 20_000);
        mOwnTarget.take();
        mDrained = mLeaving.data().leave(timeout);
        mFleet.onLoop(() -> null);
    }

    @AfterEach
    void stop() throws Exception {
        for (RawCaller caller : mCallers) {
            caller.close();
        }
        mCallers.clear();
        mFleet.close();
        mOwnTarget.close();
        mOtherTarget.close();
    }

    private RawCaller send(String method, String path, long deadlineMilliseconds)
            throws IOException {
        RawCaller caller = new RawCaller(mLeaving.data().callerAddress());
        mCallers.add(caller);
        return caller.send(
                "%s %s HTTP/1.1\r\nHost: a\r\n%s: %d\r\nContent-Length: 0\r\n\r\n"
                        .formatted(method, path, HeaderFields.DEADLINE, deadlineMilliseconds));
    }

    private static void assertNotRun(RawCaller.Answer answer) {
        assertThat(answer.status()).isEqualTo(503);
        assertThat(answer.headers())
                .containsEntry("foxtailmoor-outcome", "not-run")
                .containsEntry("connection", "close")
                .containsKey("retry-after");
    }

    private void assertAnswered(RawCaller caller, FakeTarget target) throws Exception {
        target.take().answer(200, "done");
        RawCaller.Answer answer = caller.read();
        assertThat(answer.status()).isEqualTo(200);
        assertThat(answer.headers()).containsEntry("connection", "close");
    }

    @Test
    void lateRequestWithALongDeadlineIsRefusedAsNotRun() throws Exception {
        startLeaving(TIMEOUT);
        mFleet.advance(OPEN_MILLISECONDS + 200);
        RawCaller.Answer answer = send("POST", "/orders/late", 5_000).read();
        assertNotRun(answer);
        assertThat(mOtherTarget.queuedRequests()).isZero();
    }

    @Test
    void lateRequestWithAShortDeadlineIsServed() throws Exception {
        startLeaving(TIMEOUT);
        mFleet.advance(OPEN_MILLISECONDS + 200);
        assertAnswered(send("POST", "/orders/short", 1_000), mOtherTarget);
    }

    @Test
    void requestInTheFirstPartIsServedWhateverItsDeadline() throws Exception {
        startLeaving(TIMEOUT);
        assertAnswered(send("POST", "/orders/early", 10_000), mOtherTarget);
    }

    @Test
    void uploadThatIsCompleteTooLateIsRefusedAsNotRun() throws Exception {
        startLeaving(TIMEOUT);
        RawCaller caller = new RawCaller(mLeaving.data().callerAddress());
        mCallers.add(caller);
        caller.send("POST /orders/upload HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab");
        mFleet.awaitOpenRequests(mLeaving, 2);
        mFleet.advance(OPEN_MILLISECONDS + 200);
        assertNotRun(caller.send("cd").read());
        assertThat(mOtherTarget.queuedRequests()).isZero();
    }

    @Test
    void requestThatRunsAtTheEndIsAnsweredAsUnknown() throws Exception {
        startLeaving(TIMEOUT);
        RawCaller caller = send("POST", "/orders/slow", 10_000);
        mOtherTarget.take();
        mFleet.advance(TIMEOUT.toMillis());
        RawCaller.Answer answer = caller.read();
        assertThat(answer.headers()).containsEntry("foxtailmoor-outcome", "unknown");
        assertThat(answer.headers()).containsEntry("connection", "close");
        assertThat(caller.isClosedByNode()).isTrue();
        mDrained.get(10, TimeUnit.SECONDS);
    }

    @Test
    void uploadThatIsIncompleteAtTheEndIsAnsweredAsNotRun() throws Exception {
        startLeaving(TIMEOUT);
        RawCaller caller = new RawCaller(mLeaving.data().callerAddress());
        mCallers.add(caller);
        caller.send("POST /orders/upload HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab");
        mFleet.awaitOpenRequests(mLeaving, 2);
        mFleet.advance(TIMEOUT.toMillis());
        assertNotRun(caller.read());
    }

    /**
     * Enumerates the grace period, the arrival, the kind and the deadline. After the first part,
     * only requests whose deadline passes before the end may be taken.
     */
    @ParameterizedTest
    @MethodSource("shutdowns")
    void requestsAreTakenOnlyIfTheyCanEndBeforeTheCut(
            long timeoutMilliseconds, long arrivalMilliseconds, String method) throws Exception {
        startLeaving(Duration.ofMillis(timeoutMilliseconds));
        mOtherTarget.echoPaths();
        mFleet.advance(arrivalMilliseconds);
        long open =
                Math.min(
                        timeoutMilliseconds / 2,
                        TimeUnit.NANOSECONDS.toMillis(ShutdownWindow.MAX_OPEN_NANOSECONDS));
        for (long deadline : DEADLINES_MILLISECONDS) {
            RawCaller.Answer answer = send(method, "/orders/" + deadline, deadline).read();
            long end = arrivalMilliseconds + deadline + MARGIN_MILLISECONDS;
            boolean inTime = end < timeoutMilliseconds - TOLERANCE_MILLISECONDS;
            if (arrivalMilliseconds + TOLERANCE_MILLISECONDS < open || inTime) {
                assertThat(answer.headers()).doesNotContainEntry(ERROR_HEADER, "LEAVING");
            } else if (arrivalMilliseconds > open && end > timeoutMilliseconds) {
                assertNotRun(answer);
            }
        }
    }

    static List<Arguments> shutdowns() {
        List<Arguments> shutdowns = new ArrayList<>();
        for (long timeout : new long[] {4_583, 5_500, 9_167}) {
            for (long arrival : new long[] {0, 1_000, 2_000, 3_000, 3_900, 4_300}) {
                shutdowns.add(Arguments.of(timeout, arrival, "GET"));
                shutdowns.add(Arguments.of(timeout, arrival, "POST"));
            }
        }
        return shutdowns;
    }
}
