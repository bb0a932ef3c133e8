package org.foxtailmoor.node.data;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.io.InputStream;
import java.net.Socket;
import java.util.List;
import org.foxtailmoor.protocol.generated.BodyChunk;
import org.foxtailmoor.protocol.generated.Header;
import org.foxtailmoor.protocol.generated.RequestMessage;
import org.foxtailmoor.protocol.generated.RequestStart;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests what a home tells its links about a target that has crashed, at frame level. */
class TargetDownTest {
    private static final int READ_TIMEOUT_MILLISECONDS = 10_000;

    private final TestFleet mFleet = new TestFleet();
    private FakeTarget mTarget;
    private Socket mLink;
    private InputStream mInput;

    @BeforeEach
    void start() throws Exception {
        mTarget = new FakeTarget();
        TestFleet.Node home = mFleet.add("home", TestFleet.LOOKUPS, mTarget.address());
        mFleet.publish();
        mFleet.onLoop(() -> null);
        mLink = new Socket("127.0.0.1", home.data().nodeAddress().getPort());
        mLink.setSoTimeout(READ_TIMEOUT_MILLISECONDS);
        mInput = mLink.getInputStream();
        send(Frames.hello("entry", 1));
    }

    @AfterEach
    void stop() throws Exception {
        mLink.close();
        mFleet.close();
        mTarget.close();
    }

    /** Guards against entries that try one home after another whose target is down. */
    @Test
    void homeSaysAtOnceThatItsTargetIsDownAndThatItIsBack() throws Exception {
        sendRequest(1);
        crashTarget();
        assertThat(nextLoadReport()).as("the target has crashed").isTrue();
        sendRequest(2);
        assertThat(nextRefusal()).isEqualTo("NO_UPSTREAM");
        mTarget = new FakeTarget(mTarget.address().getPort());
        assertThat(nextLoadReport()).as("the target is back").isFalse();
        sendRequest(3);
        assertThat(mTarget.take().path()).isEqualTo("/racks/3");
    }

    private void crashTarget() throws Exception {
        FakeTarget.Received received = mTarget.take();
        mTarget.close();
        received.closeConnection();
    }

    private void sendRequest(long number) throws Exception {
        RequestStart start =
                RequestStart.newBuilder()
                        .setMethod("GET")
                        .setPath("/racks/" + number)
                        .addAllHeaders(List.<Header>of())
                        .setServiceId(TestFleet.LOOKUPS)
                        .setRouteId(TestFleet.LOOKUPS)
                        .setDeadlineMilliseconds(READ_TIMEOUT_MILLISECONDS)
                        .setIdempotent(true)
                        .build();
        send(Frames.requestStart(number, start));
        BodyChunk chunk = BodyChunk.newBuilder().setContent(ByteString.EMPTY).setLast(true).build();
        send(RequestMessage.newBuilder().setStream(number).setBodyChunk(chunk).build());
    }

    private void send(RequestMessage message) throws Exception {
        message.writeDelimitedTo(mLink.getOutputStream());
        mLink.getOutputStream().flush();
    }

    /** Returns whether the target is down according to the next load that was not asked for. */
    private boolean nextLoadReport() throws Exception {
        RequestMessage message = RequestMessage.parseDelimitedFrom(mInput);
        while (!message.hasPong()) {
            message = RequestMessage.parseDelimitedFrom(mInput);
        }
        return message.getPong().getLoad().getTargetDown();
    }

    private String nextRefusal() throws Exception {
        RequestMessage message = RequestMessage.parseDelimitedFrom(mInput);
        while (!message.hasRefusal() || message.getStream() != 2) {
            message = RequestMessage.parseDelimitedFrom(mInput);
        }
        return message.getRefusal().getKind();
    }
}
