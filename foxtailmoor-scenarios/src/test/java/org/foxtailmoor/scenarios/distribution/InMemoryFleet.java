package org.foxtailmoor.scenarios.distribution;

import com.google.protobuf.ByteString;
import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.foxtailmoor.core.distribution.ControlOutbox;
import org.foxtailmoor.core.distribution.DistributionEngine;
import org.foxtailmoor.core.distribution.DocumentListener;
import org.foxtailmoor.core.distribution.SourceRole;
import org.foxtailmoor.protocol.Document;
import org.foxtailmoor.protocol.generated.CataloguePart;
import org.foxtailmoor.protocol.generated.ControlMessage;
import org.foxtailmoor.protocol.generated.CrashReport;
import org.foxtailmoor.protocol.generated.Entry;
import org.foxtailmoor.protocol.generated.Instance;
import org.foxtailmoor.protocol.generated.RegionEntry;
import org.foxtailmoor.protocol.generated.Topic;

/** Fleet of engines that exchange messages in memory, with a mock ticker and a catalogue source. */
final class InMemoryFleet {
    private static final int TICK_MILLISECONDS = 100;

    /** One engine, with the numbers of the catalogues that it applied in order. */
    static final class Node implements DocumentListener {
        final List<Long> mAppliedNumbers = new ArrayList<>();
        DistributionEngine mEngine;

        @Override
        public Optional<String> check(Topic topic, Document document) {
            return Optional.empty();
        }

        @Override
        public void documentApplied(Topic topic, Document document, String from) {
            if (topic == Topic.TOPIC_CATALOGUE) {
                mAppliedNumbers.add(document.version().getNumber());
            }
        }

        @Override
        public void crashReportsReceived(List<CrashReport> reports) {}
    }

    final Map<String, Node> mNodes = new TreeMap<>();
    final List<Runnable> mDeliveredMessages = new ArrayList<>();
    boolean mDropChangedPart;
    private final MockTicker mTicker = Ticker.newMockTicker();
    private final Deque<Runnable> mPendingMessages = new ArrayDeque<>();
    private final Map<String, Long> mLastReadNumbers = new HashMap<>();
    private Document mSource = catalogue(0);

    /** Returns a catalogue whose service parts contain its number. */
    static Document catalogue(long number) {
        TreeMap<String, ByteString> parts = new TreeMap<>();
        Entry region =
                Entry.newBuilder()
                        .setId("region")
                        .setRegionEntry(RegionEntry.newBuilder().setHoldsSource(true))
                        .build();
        parts.put("global", part(region));
        for (String service : List.of("lookups", "orders")) {
            Entry entry = Entry.newBuilder().setId(service).setOwner("owner " + number).build();
            parts.put("service/" + service, part(entry));
        }
        return Document.of(number, parts);
    }

    void add(Instance instance) {
        String id = instance.getId();
        Node node = new Node();
        ControlOutbox outbox = (peer, message) -> send(id, peer, message);
        node.mEngine =
                DistributionEngine.builder()
                        .self(instance)
                        .incarnation(1)
                        .ticker(mTicker)
                        .random(new SplittableRandom(id.hashCode()))
                        .outbox(outbox)
                        .listener(node)
                        .build();
        mNodes.put(id, node);
    }

    void publish(Document catalogue) {
        mSource = catalogue;
    }

    void run(int milliseconds) {
        for (int elapsed = 0; elapsed < milliseconds; elapsed += TICK_MILLISECONDS) {
            mTicker.advanceMillis(TICK_MILLISECONDS);
            mNodes.forEach(this::tick);
            while (!mPendingMessages.isEmpty()) {
                Runnable message = mPendingMessages.remove();
                mDeliveredMessages.add(message);
                message.run();
            }
        }
    }

    void killReaders() {
        mNodes.values()
                .removeIf(
                        node -> node.mEngine.sourceRole(Topic.TOPIC_CATALOGUE) == SourceRole.WATCH);
    }

    private void tick(String id, Node node) {
        node.mEngine.onTick();
        node.mEngine.onSourceUnchanged(Topic.TOPIC_INSTANCES);
        if (node.mEngine.sourceRole(Topic.TOPIC_CATALOGUE) == SourceRole.NONE) {
            return;
        }
        Long lastRead = mLastReadNumbers.put(id, mSource.version().getNumber());
        if (lastRead != null && lastRead == mSource.version().getNumber()) {
            node.mEngine.onSourceUnchanged(Topic.TOPIC_CATALOGUE);
        } else {
            node.mEngine.onSourceRead(Topic.TOPIC_CATALOGUE, mSource);
        }
    }

    private void send(String from, String to, ControlMessage message) {
        ControlMessage.Builder sent = message.toBuilder();
        if (mDropChangedPart && message.hasUpdate() && message.getUpdate().getChangedCount() > 0) {
            sent.setUpdate(message.getUpdate().toBuilder().removeChanged(0));
        }
        ControlMessage received = sent.build();
        mPendingMessages.add(
                () -> {
                    Node target = mNodes.get(to);
                    if (target != null) {
                        target.mEngine.onMessage(from, received);
                    }
                });
    }

    private static ByteString part(Entry entry) {
        return CataloguePart.newBuilder().addEntries(entry).build().toByteString();
    }
}
