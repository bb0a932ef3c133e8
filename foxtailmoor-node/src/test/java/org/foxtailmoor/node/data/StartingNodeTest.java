package org.foxtailmoor.node.data;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.base.FoxtailmoorException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against requests that wait at a node that has started and cannot answer yet. */
@Timeout(30)
class StartingNodeTest {
    private static final int CONNECT_TIMEOUT_MILLISECONDS = 5_000;

    private final TestFleet mFleet = new TestFleet();
    private FakeTarget mTarget;
    private InetSocketAddress mAddress;

    @BeforeEach
    void start() throws IOException {
        mTarget = new FakeTarget();
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            mAddress = new InetSocketAddress("127.0.0.1", socket.getLocalPort());
        }
    }

    @AfterEach
    void stop() throws Exception {
        mFleet.close();
        mTarget.close();
    }

    private void addNode() {
        String port = "node_port = " + mAddress.getPort();
        mFleet.addWithPort("home", TestFleet.LOOKUPS, mTarget.address(), port);
    }

    private void connect() throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(mAddress, CONNECT_TIMEOUT_MILLISECONDS);
        }
    }

    @Test
    void connectionsOfOtherNodesAreRefusedUntilTheNodeIsReady() throws Exception {
        addNode();
        assertThatThrownBy(this::connect).isInstanceOf(ConnectException.class);
        mFleet.publish();
        awaitListening();
    }

    @Test
    void nodePortInUseIsReportedAtTheStart() throws Exception {
        try (ServerSocket other = new ServerSocket()) {
            other.bind(mAddress);
            assertThatThrownBy(this::addNode)
                    .isInstanceOf(FoxtailmoorException.class)
                    .hasMessageContaining("node.node_port = " + mAddress.getPort());
        }
    }

    @Test
    void nodeListensOnceAPortThatWasTakenInTheMeantimeIsFree() throws Exception {
        addNode();
        try (ServerSocket other = new ServerSocket()) {
            other.bind(mAddress);
            mFleet.publish();
            mFleet.onLoop(() -> null);
        }
        awaitListening();
    }

    private void awaitListening() throws Exception {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CONNECT_TIMEOUT_MILLISECONDS);
        while (!isListening()) {
            assertThat(System.nanoTime()).as("listening in time").isLessThan(end);
            mFleet.onLoop(() -> null);
        }
    }

    private boolean isListening() throws IOException {
        try {
            connect();
            return true;
        } catch (ConnectException e) {
            return false;
        }
    }
}
