package org.foxtailmoor.node.data;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests retries of requests with an idempotency key over real sockets. */
class IdempotencyKeyTest {
    private static final long TERM_GUARD_MILLISECONDS = 10_000;

    private final TestFleet mFleet = new TestFleet();
    private FakeTarget mTarget;
    private TestFleet.Node mEntry;
    private TestFleet.Node mHome;

    @BeforeEach
    void start() throws Exception {
        mTarget = new FakeTarget();
        mEntry = mFleet.add("entry", TestFleet.LOOKUPS, mTarget.address());
        mHome = mFleet.add("home", TestFleet.ORDERS, mTarget.address());
        mFleet.publish();
        // The home node starts its term on the data loop and reads the first lease on a tick.
        mFleet.onLoop(() -> null);
        mFleet.advance(TERM_GUARD_MILLISECONDS);
        mFleet.onLoop(() -> null);
    }

    @AfterEach
    void stop() throws Exception {
        mFleet.close();
        mTarget.close();
    }

    @Test
    void retryOfACompletedRequestReplaysItsAnswer() throws Exception {
        String key = mFleet.newKey();
        CompletableFuture<HttpResponse<String>> first = send(mEntry, key);
        mTarget.take().answer(201, "order 5");
        assertThat(first.get().body()).isEqualTo("order 5");
        HttpResponse<String> retry = send(mHome, key).get();
        assertThat(retry.statusCode()).isEqualTo(201);
        assertThat(retry.body()).isEqualTo("order 5");
        assertThat(retry.headers().firstValue("foxtailmoor-replayed")).contains("true");
        assertThat(mTarget.queuedRequests()).isZero();
    }

    @Test
    void retryOfARunningRequestJoinsIt() throws Exception {
        String key = mFleet.newKey();
        CompletableFuture<HttpResponse<String>> first = send(mEntry, key);
        FakeTarget.Received received = mTarget.take();
        CompletableFuture<HttpResponse<String>> retry = send(mEntry, key);
        // The answer to a later request without a key shows that the retry has reached the home
        // node.
        CompletableFuture<HttpResponse<String>> other = mFleet.post(mEntry, "/orders", "other");
        mTarget.take().answer(200, "");
        other.get();
        received.answer(201, "order 6");
        assertThat(first.get().body()).isEqualTo("order 6");
        assertThat(retry.get().body()).isEqualTo("order 6");
        assertThat(mTarget.queuedRequests()).isZero();
    }

    @Test
    void outcomeIsKeptForTheRetryOfADisconnectedCaller() throws Exception {
        String key = mFleet.newKey();
        CompletableFuture<HttpResponse<String>> first = send(mEntry, key);
        FakeTarget.Received received = mTarget.take();
        first.cancel(true);
        received.answer(201, "order 7");
        assertThat(send(mEntry, key).get().body()).isEqualTo("order 7");
        assertThat(mTarget.queuedRequests()).isZero();
    }

    @Test
    void invalidKeyIsRefusedAsNotRun() throws Exception {
        HttpResponse<String> answer = send(mEntry, "5").get();
        assertThat(answer.statusCode()).isEqualTo(400);
        assertThat(answer.headers().firstValue("foxtailmoor-outcome")).contains("not-run");
    }

    private CompletableFuture<HttpResponse<String>> send(TestFleet.Node node, String key) {
        return mFleet.send(
                HttpRequest.newBuilder(node.uri("/orders"))
                        .header("Idempotency-Key", key)
                        .POST(HttpRequest.BodyPublishers.ofString("maps"))
                        .build());
    }
}
