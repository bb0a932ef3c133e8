package org.foxtailmoor.core.home;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.core.home.CrashGuard.Status;
import org.foxtailmoor.core.routing.Upstream;
import org.foxtailmoor.protocol.generated.CrashCount;
import org.foxtailmoor.protocol.generated.CrashExchange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Simulates the nodes of one service; a message arrives at the next tick. */
class CrashExchangerTest {
    private static final Fingerprint CRASHING = new Fingerprint(1, 1);
    private static final int TICK_MILLISECONDS = 20;
    private static final int IN_FLIGHT = 12;

    /** Time after the third crash from which repeats count against the rule. */
    private static final int STABILITY_MILLISECONDS = 4_000;

    /** Small shares of the 5,000 bytes that a node may send to control others. */
    private static final long SUSPECT_BYTES_PER_SECOND = 100;

    private static final long CLEARED_BYTES_PER_SECOND = 10;

    private record Message(Node from, Node to, CrashExchange content) {}

    private final class Node implements CrashTable.Listener {
        private final Upstream mUpstream;
        private final CrashTable mTable;
        private final CrashExchanger mExchanger;
        private boolean mReachable = true;
        private long mSentBytes;

        Node(int number, long incarnation) {
            String id = "n" + number;
            mUpstream = new Upstream(id, "s", "r", "z", "127.0.0.1", number, false, 1, 0);
            mTable = CrashTable.of(mTicker, id, incarnation, this);
            mExchanger =
                    CrashExchanger.of(
                            mTicker,
                            new SplittableRandom(number),
                            "s",
                            mTable,
                            (member, message) -> send(this, node(member), message));
        }

        @Override
        public void onStatusChanged(CrashTable.StatusChange change) {}

        @Override
        public void onCountsChanged(List<CrashCount> counts, boolean crashedHere) {
            mExchanger.onCountsChanged(counts, crashedHere);
        }
    }

    private final MockTicker mTicker = Ticker.newMockTicker();
    private final Map<Integer, Node> mNodes = new TreeMap<>();
    private List<Message> mMessages = new ArrayList<>();

    private Node node(Upstream upstream) {
        return mNodes.get(upstream.nodePort());
    }

    private void send(Node from, Node to, CrashExchange content) {
        from.mSentBytes += content.getSerializedSize();
        mMessages.add(new Message(from, to, content));
    }

    private void start(int count) {
        for (int i = 0; i < count; i++) {
            mNodes.put(i, new Node(i, 1));
        }
        publish();
    }

    private void publish() {
        for (Node node : mNodes.values()) {
            List<Upstream> others =
                    mNodes.values().stream()
                            .filter(other -> other != node)
                            .map(other -> other.mUpstream)
                            .toList();
            node.mExchanger.update(others, true);
        }
    }

    private void tick() {
        mTicker.advance(TICK_MILLISECONDS, TimeUnit.MILLISECONDS);
        List<Message> arriving = mMessages;
        mMessages = new ArrayList<>();
        for (Message message : arriving) {
            if (message.from().mReachable && message.to().mReachable) {
                CrashExchange reply = message.to().mExchanger.receive(message.content());
                if (reply != null) {
                    send(message.to(), message.from(), reply);
                }
            }
        }
        mNodes.values().forEach(node -> node.mExchanger.tick());
    }

    private void run(int milliseconds) {
        for (int passed = 0; passed < milliseconds; passed += TICK_MILLISECONDS) {
            tick();
        }
    }

    private long sentBytesPerNodeAndSecond() {
        mNodes.values().forEach(node -> node.mSentBytes = 0);
        run(10_000);
        return mNodes.values().stream().mapToLong(node -> node.mSentBytes).sum()
                / mNodes.size()
                / 10;
    }

    private long knowing(Status status) {
        return mNodes.values().stream()
                .filter(node -> node.mTable.status(CRASHING) == status)
                .count();
    }

    private static List<Fingerprint> inFlight() {
        List<Fingerprint> inFlight = new ArrayList<>(List.of(CRASHING));
        for (int i = 1; i < IN_FLIGHT; i++) {
            inFlight.add(new Fingerprint(2, i));
        }
        return inFlight;
    }

    private void crash(int number) {
        mNodes.get(number).mTable.crashed(inFlight());
    }

    /** Guards against nodes that send on a request that has crashed other targets. */
    @ParameterizedTest
    @ValueSource(ints = {5, 50, 500})
    void allNodesKnowARequestThatCrashesTargetsWithinTheStabilityTime(int count) {
        start(count);
        run(15_000);
        crash(0);
        run(200);
        mNodes.get(1).mTable.merge(mNodes.get(0).mTable.counts());
        mNodes.get(1).mTable.crashed(List.of(CRASHING));
        int milliseconds = 0;
        while (knowing(Status.POISONED) < count && milliseconds < STABILITY_MILLISECONDS) {
            tick();
            milliseconds += TICK_MILLISECONDS;
        }
        assertThat(knowing(Status.POISONED)).isEqualTo(count);
    }

    /** Guards against a node that was down or cut off and sends the request on again. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void nodeThatRestartsOrWasCutOffLearnsTheCrashes(boolean restarted) {
        start(20);
        mNodes.get(7).mReachable = false;
        crash(0);
        run(100);
        mNodes.get(1).mTable.crashed(List.of(CRASHING));
        run(20_000);
        assertThat(knowing(Status.POISONED)).isEqualTo(19);
        if (restarted) {
            mNodes.put(7, new Node(7, 2));
            publish();
        }
        mNodes.get(7).mReachable = true;
        run(STABILITY_MILLISECONDS);
        assertThat(knowing(Status.POISONED)).isEqualTo(20);
    }

    /** Guards against later crashes that hide a request which still must not run. */
    @Test
    void nodeThatStartsLearnsAnOlderCrashingRequestAmongManyClearedOnes() {
        start(2);
        crash(0);
        mNodes.get(0).mTable.crashed(List.of(CRASHING));
        assertThat(mNodes.get(0).mTable.status(CRASHING)).isEqualTo(Status.POISONED);
        for (int i = 0; i < 2 * CrashExchanger.MAX_COUNTS; i++) {
            Fingerprint other = new Fingerprint(3, i);
            mNodes.get(0).mTable.crashed(List.of(other, new Fingerprint(4, i)));
            run(TICK_MILLISECONDS);
            mNodes.get(0).mTable.answered(other);
            mNodes.get(0).mTable.answered(new Fingerprint(4, i));
        }
        mNodes.put(1, new Node(1, 2));
        publish();
        run(STABILITY_MILLISECONDS);
        assertThat(mNodes.get(1).mTable.counts(CRASHING)).isNotEmpty();
    }

    /** Guards against steady traffic after the last crash. */
    @Test
    void knownCrashesCostLittle() {
        start(50);
        crash(0);
        run(20_000);
        assertThat(sentBytesPerNodeAndSecond()).isLessThan(SUSPECT_BYTES_PER_SECOND);
        mNodes.values().forEach(node -> inFlight().forEach(node.mTable::answered));
        run(20_000);
        assertThat(sentBytesPerNodeAndSecond()).isLessThan(CLEARED_BYTES_PER_SECOND);
    }

    @Test
    void messagesOfOtherServicesAreIgnored() {
        start(2);
        CrashExchange message =
                CrashExchange.newBuilder().setServiceId("t").setReplyWanted(true).build();
        assertThat(mNodes.get(0).mExchanger.receive(message)).isNull();
    }
}
