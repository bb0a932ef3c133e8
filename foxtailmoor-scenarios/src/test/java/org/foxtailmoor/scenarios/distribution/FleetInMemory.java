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

/** Engines that exchange messages in memory, one mock ticker and one source of the catalogue. */
final class FleetInMemory {
    private static final int TICK_MILLISECONDS = 100;

    /** One engine and the catalogue numbers that it put in force. */
    static final class Node implements DocumentListener {
        final List<Long> mNumbers = new ArrayList<>();
        DistributionEngine mEngine;

        @Override
        public Optional<String> check(Topic topic, Document document) {
            return Optional.empty();
        }

        @Override
        public void documentApplied(Topic topic, Document document, String from) {
            if (topic == Topic.TOPIC_CATALOGUE) {
                mNumbers.add(document.version().getNumber());
            }
        }

        @Override
        public void crashReportsReceived(List<CrashReport> reports) {}
    }

    final Map<String, Node> mNodes = new TreeMap<>();
    final List<Runnable> mDelivered = new ArrayList<>();
    boolean mLosingParts;
    private final MockTicker mTicker = Ticker.newMockTicker();
    private final Deque<Runnable> mMessages = new ArrayDeque<>();
    private final Map<String, Long> mRead = new HashMap<>();
    private Document mSource = catalogue(0);

    /** Returns a catalogue in which every service's part states the number. */
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
        for (int passed = 0; passed < milliseconds; passed += TICK_MILLISECONDS) {
            mTicker.advanceMillis(TICK_MILLISECONDS);
            mNodes.forEach(this::tick);
            while (!mMessages.isEmpty()) {
                Runnable message = mMessages.remove();
                mDelivered.add(message);
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
        Long read = mRead.put(id, mSource.version().getNumber());
        if (read != null && read == mSource.version().getNumber()) {
            node.mEngine.onSourceUnchanged(Topic.TOPIC_CATALOGUE);
        } else {
            node.mEngine.onSourceRead(Topic.TOPIC_CATALOGUE, mSource);
        }
    }

    private void send(String from, String to, ControlMessage message) {
        ControlMessage.Builder sent = message.toBuilder();
        if (mLosingParts && message.hasUpdate() && message.getUpdate().getChangedCount() > 0) {
            sent.setUpdate(message.getUpdate().toBuilder().removeChanged(0));
        }
        ControlMessage arriving = sent.build();
        mMessages.add(
                () -> {
                    Node target = mNodes.get(to);
                    if (target != null) {
                        target.mEngine.onMessage(from, arriving);
                    }
                });
    }

    private static ByteString part(Entry entry) {
        return CataloguePart.newBuilder().addEntries(entry).build().toByteString();
    }
}
