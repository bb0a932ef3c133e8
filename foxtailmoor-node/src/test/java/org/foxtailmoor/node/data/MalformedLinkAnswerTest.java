package org.foxtailmoor.node.data;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.stream.Stream;
import org.foxtailmoor.protocol.generated.BodyChunk;
import org.foxtailmoor.protocol.generated.Load;
import org.foxtailmoor.protocol.generated.Refusal;
import org.foxtailmoor.protocol.generated.RequestMessage;
import org.foxtailmoor.protocol.generated.ResponseStart;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against answers of a broken or later home node that cannot be written to a caller. */
@Timeout(60)
class MalformedLinkAnswerTest {
    private static final String BODY = "done";

    private final TestFleet mFleet =
            new TestFleet(
                    new PlacementPolicies(HeaderNames.DEFAULT, () -> TestFleet.LOOKUPS, 1, 100));
    private FakeTarget mTarget;
    private FakeNode mHome;
    private RawCaller mCaller;
    private volatile List<RequestMessage> mAnswer = List.of();

    @BeforeEach
    void start() throws Exception {
        mTarget = new FakeTarget();
        mHome = new FakeNode(this::onFrame);
        TestFleet.Node entry = mFleet.add("lookup-1", TestFleet.LOOKUPS, mTarget.address());
        mFleet.addExternal("order-1", TestFleet.ORDERS, mHome.port());
        mFleet.publish();
        mCaller = new RawCaller(entry.data().callerAddress());
    }

    @AfterEach
    void stop() throws Exception {
        mCaller.close();
        mFleet.close();
        mHome.close();
        mTarget.close();
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource
    void malformedAnswerIsABadGatewayAndIsNotRepeated(String name, List<RequestMessage> frames)
            throws Exception {
        RawCaller.Answer answer = exchange(frames);
        assertThat(answer.status()).isEqualTo(502);
        assertThat(answer.headers()).containsEntry("foxtailmoor-error", "UPSTREAM_FAILED");
        assertThat(mHome.requests()).isEqualTo(1);
        assertThat(exchange(List.of(start(200, "x-a", "b"), chunk())).body()).isEqualTo(BODY);
    }

    static Stream<Arguments> malformedAnswerIsABadGatewayAndIsNotRepeated() {
        return Stream.of(
                malformed("status 0", start(0, "x-a", "b"), chunk()),
                malformed("interim status", start(103, "x-a", "b"), chunk()),
                malformed("status 600", start(600, "x-a", "b"), chunk()),
                malformed("blank in a name", start(200, "x a", "b"), chunk()),
                malformed("control byte in a name", start(200, "x\u0001a", "b"), chunk()),
                malformed("colon in a name", start(200, "x:a", "b"), chunk()),
                malformed("line end in a name", start(200, "x\r\na", "b"), chunk()),
                malformed("wide character in a name", start(200, "x-\u212a", "b"), chunk()),
                malformed("empty name", start(200, "", "b"), chunk()),
                malformed("line end in a value", start(200, "x-a", "b\r\nc: d"), chunk()),
                malformed("carriage return in a value", start(200, "x-a", "b\rc"), chunk()),
                malformed("null in a value", start(200, "x-a", "b\u0000"), chunk()),
                malformed("wide character in a value", start(200, "x-a", "\u010a"), chunk()),
                malformed("transfer coding", start(200, "transfer-encoding", "chunked"), chunk()),
                malformed("connection option", start(200, "Connection", "close"), chunk()),
                malformed("length without digits", start(200, "content-length", "x"), chunk()),
                malformed("two starts", start(200, "x-a", "b"), start(200, "x-a", "b"), chunk()),
                malformed("body before the start", chunk(), start(200, "x-a", "b")),
                malformed("refusal after the start", start(200, "x-a", "b"), refusal()));
    }

    @Test
    void validFieldsReachTheCaller() throws Exception {
        RawCaller.Answer answer = exchange(List.of(start(200, "x-a", "b\t\u00e9 \"c\""), chunk()));
        assertThat(answer.status()).isEqualTo(200);
        assertThat(answer.body()).isEqualTo(BODY);
    }

    private RawCaller.Answer exchange(List<RequestMessage> frames) throws Exception {
        mAnswer = frames;
        mCaller.send("GET /orders/1 HTTP/1.1\r\nHost: a\r\n\r\n");
        return mCaller.read();
    }

    private void onFrame(FakeNode.FakeLink link, RequestMessage message) {
        if (message.hasPing()) {
            link.send(Frames.pong(message.getPing().getSequence(), Load.getDefaultInstance()));
        } else if (message.hasRequestStart()) {
            for (RequestMessage frame : mAnswer) {
                link.send(frame.toBuilder().setStream(message.getStream()).build());
            }
        }
    }

    private static Arguments malformed(String name, RequestMessage... frames) {
        return Arguments.of(name, List.of(frames));
    }

    private static RequestMessage start(int status, String name, String value) {
        ResponseStart start =
                ResponseStart.newBuilder()
                        .setStatus(status)
                        .setBodyBytes(BODY.length())
                        .addHeaders(HeaderFields.of(name, value))
                        .build();
        return RequestMessage.newBuilder().setResponseStart(start).build();
    }

    private static RequestMessage chunk() {
        BodyChunk chunk =
                BodyChunk.newBuilder()
                        .setContent(ByteString.copyFromUtf8(BODY))
                        .setLast(true)
                        .build();
        return RequestMessage.newBuilder().setBodyChunk(chunk).build();
    }

    private static RequestMessage refusal() {
        Refusal refusal = Refusal.newBuilder().setKind("OVERLOADED").build();
        return RequestMessage.newBuilder().setRefusal(refusal).build();
    }
}
