package org.foxtailmoor.node.data;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.core.routing.LinkState;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests an upstream that an entry could not reach for a while. */
class ReturningPeerTest {
    private static final long PROBING_MILLISECONDS = 21_000;
    private static final int TIMEOUT_MILLISECONDS = 10_000;
    private static final long PROBE_MILLISECONDS = 800;

    private final TestFleet mFleet =
            new TestFleet(
                    new PlacementPolicies(HeaderNames.DEFAULT, () -> TestFleet.ORDERS, 1, 100));
    private final FakeTarget mTarget;
    private TestFleet.Node mEntry;

    ReturningPeerTest() throws Exception {
        mTarget = new FakeTarget().echoPaths();
    }

    @AfterEach
    void stop() throws Exception {
        mFleet.close();
        mTarget.close();
    }

    /** Guards against upstreams that get no requests again because probing has ended. */
    @Test
    void peerThatWasUnreachableForLongIsUsedAgain() throws Exception {
        checkReturnAfter(PROBING_MILLISECONDS);
    }

    /** Guards against upstreams that get no requests again after a short failure. */
    @Test
    void peerThatWasUnreachableBrieflyIsUsedAgain() throws Exception {
        checkReturnAfter(PROBE_MILLISECONDS);
    }

    private void checkReturnAfter(long milliseconds) throws Exception {
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        mEntry = mFleet.add("entry", TestFleet.ORDERS, mTarget.address());
        mFleet.addExternal("returning", TestFleet.LOOKUPS, port);
        mFleet.publish();
        // Without another upstream, the first request tries the one that cannot be reached.
        mFleet.get(mEntry, "/racks/0").get();
        assertThat(linkState()).isEqualTo(LinkState.FAILED);
        mFleet.add("good", TestFleet.LOOKUPS, mTarget.address());
        mFleet.publish();
        mFleet.advance(milliseconds);
        try (ServerSocket back = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            back.setSoTimeout(TIMEOUT_MILLISECONDS);
            mFleet.advance(PROBE_MILLISECONDS);
            try (Socket link = back.accept()) {
                long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLISECONDS);
                // The node completes its end of the connection on the data loop.
                while (linkState() == LinkState.FAILED && System.nanoTime() - end < 0) {
                    mFleet.onLoop(() -> null);
                }
                assertThat(linkState()).isNotEqualTo(LinkState.FAILED);
            }
        }
    }

    private LinkState linkState() throws Exception {
        return mEntry.data().explain("GET", "/racks/1").get().upstreams().stream()
                .filter(state -> state.upstream().id().equals("returning"))
                .findFirst()
                .orElseThrow()
                .linkState();
    }
}
