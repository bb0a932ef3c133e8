package org.foxtailmoor.node.data;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.ConnectException;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests graceful shutdown: open requests complete, and new ones go to other upstreams. */
class LeavingTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    private final TestFleet mFleet = new TestFleet();
    private FakeTarget mLeavingTarget;
    private FakeTarget mStayingTarget;
    private TestFleet.Node mLeaving;
    private TestFleet.Node mEntry;

    @BeforeEach
    void start() throws Exception {
        mLeavingTarget = new FakeTarget();
        mStayingTarget = new FakeTarget();
        mLeaving = mFleet.add("leaving", TestFleet.ORDERS, mLeavingTarget.address());
        mEntry = mFleet.add("entry", TestFleet.LOOKUPS, mStayingTarget.address());
        mFleet.publish();
    }

    @AfterEach
    void stop() throws Exception {
        mFleet.close();
        mLeavingTarget.close();
        mStayingTarget.close();
    }

    @Test
    void portsCloseAfterOpenRequestsComplete() throws Exception {
        CompletableFuture<HttpResponse<String>> remote = mFleet.post(mEntry, "/orders", "a");
        FakeTarget.Received first = mLeavingTarget.take();
        RawCaller local = new RawCaller(mLeaving.data().callerAddress());
        local.send("GET /orders/b HTTP/1.1\r\nHost: a\r\n\r\n");
        FakeTarget.Received second = mLeavingTarget.take();
        CompletableFuture<Void> drained = mLeaving.data().leave(TIMEOUT);
        // Two thirds of the notice period; the open requests keep the node running.
        mFleet.advance(2 * TimeUnit.NANOSECONDS.toMillis(DataDrain.NOTICE_PERIOD_NANOSECONDS) / 3);
        mFleet.onLoop(() -> null);
        assertThat(drained).isNotDone();
        first.answer(200, "first");
        second.answer(200, "second");
        assertThat(remote.get().body()).isEqualTo("first");
        RawCaller.Answer answer = local.read();
        assertThat(answer.body()).isEqualTo("second");
        assertThat(answer.headers()).containsEntry("connection", "close");
        assertThat(local.isClosedByNode()).isTrue();
        local.close();
        drained.get(20, TimeUnit.SECONDS);
        Assertions.assertThatThrownBy(
                        () -> new Socket("127.0.0.1", mLeaving.data().callerAddress().getPort()))
                .isInstanceOf(ConnectException.class);
    }

    @Test
    void newWorkForTheLeavingTargetGoesToAnotherOne() throws Exception {
        mFleet.add("staying", TestFleet.ORDERS, mStayingTarget.address());
        mFleet.publish();
        mStayingTarget.echoPaths();
        CompletableFuture<Void> drained = mLeaving.data().leave(TIMEOUT);
        for (int i = 0; i < 20; i++) {
            assertThat(mFleet.post(mEntry, "/orders/" + i, "a").get().body())
                    .isEqualTo("/orders/" + i);
        }
        assertThat(mLeavingTarget.queuedRequests()).isZero();
        drained.get(20, TimeUnit.SECONDS);
    }

    @Test
    void leavingNodeStillForwardsRequestsOfItsTarget() throws Exception {
        mStayingTarget.echoPaths();
        CompletableFuture<HttpResponse<String>> open = mFleet.post(mEntry, "/orders", "a");
        FakeTarget.Received received = mLeavingTarget.take();
        CompletableFuture<Void> drained = mLeaving.data().leave(TIMEOUT);
        assertThat(mFleet.get(mLeaving, "/racks/1").get().body()).isEqualTo("/racks/1");
        received.answer(200, "done");
        assertThat(open.get().body()).isEqualTo("done");
        drained.get(20, TimeUnit.SECONDS);
    }

    @Test
    void requestWithoutAnotherUpstreamIsRefusedAsNotRun() throws Exception {
        CompletableFuture<Void> drained = mLeaving.data().leave(TIMEOUT);
        HttpResponse<String> answer = mFleet.post(mEntry, "/orders", "a").get();
        assertThat(answer.statusCode()).isEqualTo(503);
        assertThat(answer.headers().firstValue("foxtailmoor-outcome")).contains("not-run");
        drained.get(20, TimeUnit.SECONDS);
    }
}
