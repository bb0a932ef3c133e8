package org.foxtailmoor.node.data;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import org.foxtailmoor.protocol.generated.BodyChunk;
import org.foxtailmoor.protocol.generated.Header;
import org.foxtailmoor.protocol.generated.RequestMessage;
import org.foxtailmoor.protocol.generated.RequestStart;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against a malformed message that ends a node, or the requests of other callers. Sends
 * valid messages with some bytes changed, and after each of them a request that must be answered.
 */
@Timeout(120)
class MalformedMessagesTest {
    private static final long DEFAULT_SEED = 23;
    private static final int ROUNDS = 120;
    private static final int READ_TIMEOUT_MILLISECONDS = 10_000;
    private static final int DEADLINE_MILLISECONDS = 400;
    private static final int MAX_CHANGES = 4;

    private final long mSeed = Long.getLong("foxtailmoor.seed", DEFAULT_SEED);
    private final Random mRandom = new Random(mSeed);
    private final TestFleet mFleet = new TestFleet();
    private FakeTarget mTarget;
    private TestFleet.Node mEntry;
    private TestFleet.Node mHome;

    @BeforeEach
    void start() throws Exception {
        mTarget = new FakeTarget();
        mEntry = mFleet.add("lookup-1", TestFleet.LOOKUPS, mTarget.address());
        mHome = mFleet.add("order-1", TestFleet.ORDERS, mTarget.address());
        mFleet.publish();
    }

    @AfterEach
    void stop() throws Exception {
        mFleet.close();
        mTarget.close();
    }

    @Test
    void malformedFramesOfALinkLeaveTheHomeServing() throws Exception {
        for (int round = 0; round < ROUNDS; round++) {
            exchange(mHome.data().nodeAddress(), mutate(linkMessages()));
            assertOtherRequestsAreAnswered("link", round);
        }
    }

    @Test
    void malformedRequestsLeaveTheEntryServing() throws Exception {
        String request =
                "POST /orders/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
                        + "Foxtailmoor-Deadline-Milliseconds: 300\r\nX-A: b\r\n\r\n"
                        + "5\r\nhello\r\n0\r\n\r\n";
        for (int round = 0; round < ROUNDS; round++) {
            byte[] text = mutate(request.getBytes(StandardCharsets.ISO_8859_1));
            exchange(mEntry.data().callerAddress(), text);
            assertOtherRequestsAreAnswered("caller", round);
        }
    }

    @Test
    void malformedAnswersAreAnsweredToTheCaller() throws Exception {
        String answer =
                "HTTP/1.1 200 OK\r\nX-A: b\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + "5\r\nhello\r\n0\r\n\r\n";
        for (int round = 0; round < ROUNDS; round++) {
            try (RawCaller caller = new RawCaller(mEntry.data().callerAddress())) {
                caller.send(request("malformed"));
                FakeTarget.Received received = take("malformed");
                byte[] text = mutate(answer.getBytes(StandardCharsets.ISO_8859_1));
                received.socket().getOutputStream().write(text);
                received.closeConnection();
                assertThat(caller.read().status())
                        .as("seed %d, round %d", mSeed, round)
                        .isBetween(200, 599);
            }
            assertOtherRequestsAreAnswered("target", round);
        }
    }

    private static byte[] linkMessages() throws IOException {
        ByteArrayOutputStream messages = new ByteArrayOutputStream();
        Frames.hello("entry", 1).writeDelimitedTo(messages);
        Header.Builder header = Header.newBuilder().setName("x-a").setValue("b");
        RequestStart start =
                RequestStart.newBuilder()
                        .setMethod("POST")
                        .setPath("/orders/malformed")
                        .addHeaders(header)
                        .setServiceId(TestFleet.ORDERS)
                        .setRouteId(TestFleet.ORDERS)
                        .setDeadlineMilliseconds(DEADLINE_MILLISECONDS)
                        .build();
        Frames.requestStart(1, start).writeDelimitedTo(messages);
        BodyChunk chunk =
                BodyChunk.newBuilder()
                        .setContent(ByteString.copyFromUtf8("hello"))
                        .setLast(true)
                        .build();
        RequestMessage.newBuilder()
                .setStream(1)
                .setBodyChunk(chunk)
                .build()
                .writeDelimitedTo(messages);
        return messages.toByteArray();
    }

    /** Changes, removes or repeats some bytes. */
    private byte[] mutate(byte[] message) {
        byte[] mutated = message.clone();
        for (int i = mRandom.nextInt(MAX_CHANGES); i >= 0; i--) {
            int position = mRandom.nextInt(mutated.length);
            switch (mRandom.nextInt(3)) {
                case 0 -> mutated[position] = (byte) mRandom.nextInt();
                case 1 -> mutated[position] ^= (byte) (1 << mRandom.nextInt(Byte.SIZE));
                default -> {
                    int length = Math.min(mRandom.nextInt(9), mutated.length - position);
                    int source = mRandom.nextInt(mutated.length - length + 1);
                    System.arraycopy(message, source, mutated, position, length);
                }
            }
        }
        return mutated;
    }

    /** Sends bytes, ends the sending and reads until the node closes the connection. */
    private static void exchange(InetSocketAddress address, byte[] bytes) throws IOException {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(DEADLINE_MILLISECONDS);
            socket.getOutputStream().write(bytes);
            socket.shutdownOutput();
            InputStream input = socket.getInputStream();
            while (input.read() >= 0) {
                // Only the end of the connection matters.
                continue;
            }
        } catch (SocketTimeoutException | SocketException e) {
            // The node waits for the target, or has closed the connection with a reset.
            return;
        }
    }

    private void assertOtherRequestsAreAnswered(String sender, int round) throws Exception {
        try (RawCaller caller = new RawCaller(mEntry.data().callerAddress())) {
            caller.send(request("valid"));
            take("valid").answer(200, "done");
            RawCaller.Answer answer = caller.read();
            assertThat(answer.status())
                    .as("seed %d, %s, round %d", mSeed, sender, round)
                    .isEqualTo(200);
            assertThat(answer.body()).isEqualTo("done");
        }
    }

    /** Returns the request with a path; those of mutated messages are answered at once. */
    private FakeTarget.Received take(String path) throws InterruptedException {
        FakeTarget.Received received = mTarget.take();
        while (!received.path().equals("/orders/" + path)) {
            received.answer(200, "");
            received = mTarget.take();
        }
        return received;
    }

    private static String request(String path) {
        return "GET /orders/"
                + path
                + " HTTP/1.1\r\nHost: a\r\nFoxtailmoor-Deadline-Milliseconds: "
                + READ_TIMEOUT_MILLISECONDS
                + "\r\n\r\n";
    }
}
