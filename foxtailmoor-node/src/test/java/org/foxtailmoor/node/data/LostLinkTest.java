package org.foxtailmoor.node.data;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.foxtailmoor.protocol.generated.BodyChunk;
import org.foxtailmoor.protocol.generated.Load;
import org.foxtailmoor.protocol.generated.RequestMessage;
import org.foxtailmoor.protocol.generated.ResponseStart;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests links that close or stop responding while requests are open. */
class LostLinkTest {
    private static final int MAX_ATTEMPTS = 100;
    private static final int LONG_BODY_BYTES = 200_000;

    private final TestFleet mFleet = new TestFleet();
    private final FakeTarget mTarget;
    private FakeNode mFakeNode;

    LostLinkTest() throws Exception {
        mTarget = new FakeTarget().echoPaths();
    }

    @AfterEach
    void stop() throws Exception {
        mFleet.close();
        mTarget.close();
        mFakeNode.close();
    }

    @Test
    void idempotentRequestIsSentElsewhere() throws Exception {
        TestFleet.Node entry = startFleet(FakeNode.FakeLink::close, TestFleet.LOOKUPS);
        for (int i = 0; i < MAX_ATTEMPTS && mFakeNode.requests() == 0; i++) {
            HttpResponse<String> answer = mFleet.get(entry, "/racks/" + i).get();
            assertThat(answer.statusCode()).isEqualTo(200);
            assertThat(answer.body()).isEqualTo("/racks/" + i);
        }
        assertThat(mFakeNode.requests()).isPositive();
    }

    @Test
    void otherRequestIsNeverSentTwice() throws Exception {
        TestFleet.Node entry = startFleet(FakeNode.FakeLink::close, TestFleet.ORDERS);
        HttpResponse<String> answer = null;
        for (int i = 0; i < MAX_ATTEMPTS && mFakeNode.requests() == 0; i++) {
            answer = mFleet.post(entry, "/orders", "maps").get();
        }
        assertThat(mFakeNode.requests()).isEqualTo(1);
        assertThat(answer.statusCode()).isEqualTo(409);
        assertThat(answer.headers().firstValue("foxtailmoor-error")).contains("OUTCOME_UNKNOWN");
        assertThat(answer.headers().firstValue("foxtailmoor-outcome")).contains("unknown");
    }

    @Test
    void truncatedAnswerNeverReachesTheCaller() throws Exception {
        TestFleet.Node entry = startFleet(LostLinkTest::sendPartialAnswer, TestFleet.ORDERS);
        HttpResponse<String> answer = null;
        for (int i = 0; i < MAX_ATTEMPTS && mFakeNode.requests() == 0; i++) {
            answer = mFleet.post(entry, "/orders", "maps").get();
        }
        assertThat(answer.statusCode()).isEqualTo(409);
        assertThat(answer.body()).doesNotContain("par");
    }

    @Test
    void refusedConnectionIsNotRunAndGoesElsewhere() throws Exception {
        TestFleet.Node entry = startFleet(FakeNode.FakeLink::close, TestFleet.ORDERS);
        mFakeNode.close();
        for (int i = 0; i < 10; i++) {
            assertThat(mFleet.post(entry, "/orders", "maps").get().statusCode()).isEqualTo(200);
        }
    }

    /** Guards against 504 for an upload of which the home has not received a byte. */
    @Test
    void bodyThatIsNotGrantedUntilTheDeadlineIsNotRun() throws Exception {
        mFakeNode =
                new FakeNode(
                        (link, message) -> {
                            if (message.hasLinkHello()) {
                                link.send(Frames.hello("fake", 1, true));
                            }
                        });
        TestFleet.Node entry = mFleet.add("entry", TestFleet.LOOKUPS, mTarget.address());
        mFleet.addExternal("fake", TestFleet.ORDERS, mFakeNode.port());
        mFleet.publish();
        HttpRequest upload =
                HttpRequest.newBuilder(entry.uri("/orders"))
                        .header(HeaderFields.DEADLINE.toString(), "700")
                        .POST(HttpRequest.BodyPublishers.ofByteArray(new byte[LONG_BODY_BYTES]))
                        .build();
        HttpResponse<String> answer = mFleet.send(upload).get();
        assertThat(mFakeNode.requests()).isEqualTo(1);
        assertThat(answer.statusCode()).isEqualTo(503);
        assertThat(answer.headers().firstValue("foxtailmoor-outcome")).contains("not-run");
    }

    @Test
    void unresponsiveLinkIsReplacedByANewLink() throws Exception {
        CompletableFuture<FakeNode.FakeLink> requested = new CompletableFuture<>();
        mFakeNode =
                new FakeNode(
                        (link, message) -> {
                            if (link.number() > 1 && message.hasPing()) {
                                link.send(
                                        Frames.pong(
                                                message.getPing().getSequence(),
                                                Load.getDefaultInstance()));
                            } else if (message.hasRequestStart()) {
                                requested.complete(link);
                            }
                        });
        TestFleet.Node entry = mFleet.add("entry", TestFleet.LOOKUPS, mTarget.address());
        mFleet.addExternal("fake", TestFleet.ORDERS, mFakeNode.port());
        mFleet.publish();
        CompletableFuture<HttpResponse<String>> answer = mFleet.post(entry, "/orders", "maps");
        FakeNode.FakeLink unresponsive = requested.get(10, TimeUnit.SECONDS);
        assertThat(unresponsive.number()).isEqualTo(1);
        // The replacement link closes the old one; so would the receive timeout of 1.5 s.
        long started = System.nanoTime();
        unresponsive.closedByPeer().get(10, TimeUnit.SECONDS);
        long taken = System.nanoTime() - started;
        assertThat(taken).isLessThan(TimeUnit.MILLISECONDS.toNanos(2_800));
        assertThat(answer.get().statusCode()).isEqualTo(409);
    }

    /**
     * Adds an entry node, a working node of the service, and a fake node that reacts to requests.
     */
    private TestFleet.Node startFleet(Consumer<FakeNode.FakeLink> reaction, String service)
            throws Exception {
        BiConsumer<FakeNode.FakeLink, RequestMessage> onFrame =
                (link, message) -> {
                    if (message.hasBodyChunk() && message.getBodyChunk().getLast()) {
                        reaction.accept(link);
                    }
                };
        mFakeNode = new FakeNode(onFrame);
        String otherService =
                service.equals(TestFleet.ORDERS) ? TestFleet.LOOKUPS : TestFleet.ORDERS;
        TestFleet.Node entry = mFleet.add("entry", otherService, mTarget.address());
        mFleet.add("good", service, mTarget.address());
        mFleet.addExternal("fake", service, mFakeNode.port());
        mFleet.publish();
        return entry;
    }

    private static void sendPartialAnswer(FakeNode.FakeLink link) {
        ResponseStart start = ResponseStart.newBuilder().setStatus(200).setBodyBytes(6).build();
        link.send(RequestMessage.newBuilder().setStream(1).setResponseStart(start).build());
        link.send(
                RequestMessage.newBuilder()
                        .setStream(1)
                        .setBodyChunk(
                                BodyChunk.newBuilder().setContent(ByteString.copyFromUtf8("par")))
                        .build());
        link.close();
    }
}
