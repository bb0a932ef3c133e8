package org.foxtailmoor.node.data;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against requests of other nodes that a leaving home starts although it would break them
 * off, or that it ends without saying that they have not run.
 */
@Timeout(60)
class LeavingHomeTest {
    private static final Duration TIMEOUT = Duration.ofMillis(4_600);
    private static final int SLOTS = 4;
    private static final int NOT_RUN_STATUS = 503;

    private final TestFleet mFleet = new TestFleet();
    private final List<CompletableFuture<HttpResponse<String>>> mAnswers = new ArrayList<>();
    private final List<FakeTarget.Received> mRunning = new ArrayList<>();
    private FakeTarget mTarget;
    private FakeTarget mOtherTarget;
    private CompletableFuture<Void> mDrained;

    /** Starts to leave while the target runs four requests of another node and one is queued. */
    @BeforeEach
    void startLeaving() throws Exception {
        mTarget = new FakeTarget();
        mOtherTarget = new FakeTarget();
        TestFleet.Node leaving = mFleet.add("leaving", TestFleet.ORDERS, mTarget.address());
        TestFleet.Node entry = mFleet.add("entry", TestFleet.LOOKUPS, mOtherTarget.address());
        mFleet.publish();
        for (int i = 0; i < SLOTS; i++) {
            mAnswers.add(mFleet.post(entry, "/orders/" + i, "a"));
        }
        for (int i = 0; i < SLOTS; i++) {
            mRunning.add(mTarget.take());
        }
        mAnswers.add(mFleet.post(entry, "/orders/queued", "a"));
        mFleet.awaitGauge(leaving, "home.queued_requests", 1);
        mDrained = leaving.data().leave(TIMEOUT);
        mFleet.onLoop(() -> null);
    }

    @AfterEach
    void stop() throws Exception {
        mFleet.close();
        mTarget.close();
        mOtherTarget.close();
    }

    @Test
    void queuedRequestIsRefusedAsNotRunWhenASlotBecomesFreeTooLate() throws Exception {
        mFleet.advance(TIMEOUT.toMillis() / 2 + 100);
        mRunning.get(0).answer(200, "done");
        HttpResponse<String> queued = mAnswers.get(SLOTS).get(10, TimeUnit.SECONDS);
        assertThat(queued.statusCode()).isEqualTo(NOT_RUN_STATUS);
        assertThat(mTarget.queuedRequests()).isZero();
        for (FakeTarget.Received running : mRunning.subList(1, SLOTS)) {
            running.answer(200, "done");
        }
        for (CompletableFuture<HttpResponse<String>> answer : mAnswers.subList(0, SLOTS)) {
            assertThat(answer.get(10, TimeUnit.SECONDS).statusCode()).isEqualTo(200);
        }
        mFleet.advance(TIMEOUT.toMillis());
        mDrained.get(10, TimeUnit.SECONDS);
    }

    @Test
    void onlyTheRequestsAtTheTargetAreUnknownAtTheEnd() throws Exception {
        mFleet.advance(TIMEOUT.toMillis());
        mDrained.get(10, TimeUnit.SECONDS);
        HttpResponse<String> queued = mAnswers.get(SLOTS).get(10, TimeUnit.SECONDS);
        assertThat(queued.statusCode()).isEqualTo(NOT_RUN_STATUS);
        assertThat(queued.headers().firstValue("foxtailmoor-outcome")).contains("not-run");
        for (CompletableFuture<HttpResponse<String>> answer : mAnswers.subList(0, SLOTS)) {
            assertThat(answer.get(10, TimeUnit.SECONDS).headers().firstValue("foxtailmoor-outcome"))
                    .contains("unknown");
        }
        assertThat(mTarget.queuedRequests()).isZero();
    }
}
