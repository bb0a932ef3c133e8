package org.foxtailmoor.node.data;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Repeats of keyed requests over real sockets. */
class IdempotencyKeyTest {
    private static final long PAST_THE_GUARD_MILLISECONDS = 10_000;

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
        // The term of the home begins on its loop, and the first lease is seen on a tick.
        mFleet.onLoop(() -> null);
        mFleet.advance(PAST_THE_GUARD_MILLISECONDS);
        mFleet.onLoop(() -> null);
    }

    @AfterEach
    void stop() throws Exception {
        mFleet.close();
        mTarget.close();
    }

    @Test
    void repeatOfAFinishedRequestGetsTheSameAnswerWithoutRunning() throws Exception {
        String key = mFleet.newKey();
        CompletableFuture<HttpResponse<String>> first = send(mEntry, key);
        mTarget.take().answer(201, "order 5");
        assertThat(first.get().body()).isEqualTo("order 5");
        HttpResponse<String> repeat = send(mHome, key).get();
        assertThat(repeat.statusCode()).isEqualTo(201);
        assertThat(repeat.body()).isEqualTo("order 5");
        assertThat(repeat.headers().firstValue("foxtailmoor-replayed")).contains("true");
        assertThat(mTarget.waiting()).isZero();
    }

    @Test
    void repeatOfARunningRequestJoinsIt() throws Exception {
        String key = mFleet.newKey();
        CompletableFuture<HttpResponse<String>> first = send(mEntry, key);
        FakeTarget.Received received = mTarget.take();
        CompletableFuture<HttpResponse<String>> repeat = send(mEntry, key);
        // A request without a key proves that the repeat, sent before it, has reached the home.
        CompletableFuture<HttpResponse<String>> other = mFleet.post(mEntry, "/orders", "other");
        mTarget.take().answer(200, "");
        other.get();
        received.answer(201, "order 6");
        assertThat(first.get().body()).isEqualTo("order 6");
        assertThat(repeat.get().body()).isEqualTo("order 6");
        assertThat(mTarget.waiting()).isZero();
    }

    @Test
    void callerThatGoesAwayLeavesTheOutcomeForItsRepeat() throws Exception {
        String key = mFleet.newKey();
        CompletableFuture<HttpResponse<String>> first = send(mEntry, key);
        FakeTarget.Received received = mTarget.take();
        first.cancel(true);
        received.answer(201, "order 7");
        assertThat(send(mEntry, key).get().body()).isEqualTo("order 7");
        assertThat(mTarget.waiting()).isZero();
    }

    @Test
    void keyThatIsNoUuidIsRefusedAsNotRun() throws Exception {
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
