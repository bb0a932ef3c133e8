package org.foxtailmoor.core.distribution;

import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;
import java.util.random.RandomGenerator;
import org.foxtailmoor.core.membership.InstanceCodec;
import org.foxtailmoor.protocol.Document;
import org.foxtailmoor.protocol.generated.ControlMessage;
import org.foxtailmoor.protocol.generated.DocumentVersion;
import org.foxtailmoor.protocol.generated.Instance;
import org.foxtailmoor.protocol.generated.Topic;

/**
 * Simulates a fleet of engines on one mock ticker, with a queue of delayed messages and a source
 * that can be down or stale. The assumed delays are 0.5 ms within a region, 30 ms between regions,
 * and 2 ms for the source.
 */
final class FakeFleet {
    private static final long SAME_REGION_DELAY_NANOSECONDS = Milliseconds.toNanoseconds(1) / 2;
    private static final long CROSS_REGION_DELAY_NANOSECONDS = Milliseconds.toNanoseconds(30);
    private static final long SOURCE_DELAY_NANOSECONDS = Milliseconds.toNanoseconds(2);
    private static final long TICK_INTERVAL_NANOSECONDS = Milliseconds.toNanoseconds(100);

    private record Event(long timeNanoseconds, long sequence, Runnable action) {}

    /** Decides whether a message is lost. */
    interface Loss {
        boolean isLost(FakeNode from, FakeNode to);
    }

    final MockTicker mTicker = Ticker.newMockTicker();
    final RandomGenerator mRandom;
    final Map<String, FakeNode> mNodes = new TreeMap<>();
    final Map<Topic, Document> mSource = new EnumMap<>(Topic.class);
    final Deque<Runnable> mDeliveries = new ArrayDeque<>();
    final Map<ControlMessage.KindCase, Long> mCrossRegionBytes =
            new EnumMap<>(ControlMessage.KindCase.class);
    long mSentBytes;
    int mPollCount;
    Predicate<FakeNode> mSourceReachable = node -> true;
    long mMaxJitterNanoseconds;
    Loss mLoss = (from, to) -> false;
    UnaryOperator<ControlMessage> mMessageTransform = message -> message;
    DistributionSettings mSettings = DistributionSettings.DEFAULT;
    private final Map<DocumentVersion, Topology> mTopologies = new HashMap<>();
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    (a, b) ->
                            a.timeNanoseconds() == b.timeNanoseconds()
                                    ? Long.compare(a.sequence(), b.sequence())
                                    : Long.compare(a.timeNanoseconds(), b.timeNanoseconds()));
    private long mNextSequence;

    FakeFleet(RandomGenerator random) {
        mRandom = random;
    }

    /** Creates a fleet in which every node has an instance list and a catalogue and is ready. */
    static FakeFleet createReady(
            RandomGenerator random, List<Instance> instances, Document catalogue) {
        FakeFleet fleet = new FakeFleet(random);
        fleet.mSource.put(Topic.TOPIC_INSTANCES, InstanceCodec.encode(1, instances));
        fleet.mSource.put(Topic.TOPIC_CATALOGUE, catalogue);
        instances.forEach(fleet::start);
        for (FakeNode node : fleet.mNodes.values()) {
            node.mEngine.onSourceRead(
                    Topic.TOPIC_INSTANCES, fleet.mSource.get(Topic.TOPIC_INSTANCES));
            node.mEngine.onSourceRead(Topic.TOPIC_CATALOGUE, catalogue);
        }
        fleet.run(4_000);
        return fleet;
    }

    FakeNode start(Instance instance) {
        return start(instance, List.of());
    }

    /** Starts a node; an earlier node with the same id no longer receives messages. */
    FakeNode start(Instance instance, List<String> seeds) {
        FakeNode node = new FakeNode(this, instance, seeds);
        mNodes.put(instance.getId(), node);
        after((long) (mRandom.nextDouble() * TICK_INTERVAL_NANOSECONDS), () -> tick(node));
        return node;
    }

    FakeNode node(String id) {
        return mNodes.get(id);
    }

    Collection<FakeNode> nodes() {
        return mNodes.values();
    }

    List<FakeNode> live() {
        return mNodes.values().stream().filter(node -> !node.mDead).toList();
    }

    /**
     * Publishes a document at the source; watching readers read it after the delay of the source.
     */
    void publish(Topic topic, Document document) {
        mSource.put(topic, document);
        live().stream()
                .filter(node -> node.mRoles.get(topic) == SourceRole.WATCH)
                .forEach(node -> after(SOURCE_DELAY_NANOSECONDS, () -> node.readSource(topic)));
    }

    void run(long milliseconds) {
        runUntil(milliseconds, () -> false);
    }

    /**
     * Runs until a condition is met or a time has passed, and returns whether the condition is met.
     */
    boolean runUntil(long milliseconds, BooleanSupplier condition) {
        long end = mTicker.nanoTime() + Milliseconds.toNanoseconds(milliseconds);
        while (!mEvents.isEmpty() && mEvents.peek().timeNanoseconds() <= end) {
            Event event = mEvents.poll();
            mTicker.advance(event.timeNanoseconds() - mTicker.nanoTime(), TimeUnit.NANOSECONDS);
            event.action().run();
            if (condition.getAsBoolean()) {
                return true;
            }
        }
        mTicker.advance(end - mTicker.nanoTime(), TimeUnit.NANOSECONDS);
        return condition.getAsBoolean();
    }

    boolean allHave(Topic topic, Document document) {
        return live().stream().allMatch(node -> node.version(topic).equals(document.version()));
    }

    void after(long nanoseconds, Runnable action) {
        mEvents.add(new Event(mTicker.nanoTime() + nanoseconds, mNextSequence++, action));
    }

    void send(FakeNode from, String to, ControlMessage sent) {
        FakeNode target = mNodes.get(to);
        if (from.mDead || target == null) {
            return;
        }
        boolean sameRegion = from.mInstance.getRegion().equals(target.mInstance.getRegion());
        if (!sameRegion) {
            mCrossRegionBytes.merge(sent.getKindCase(), (long) sent.getSerializedSize(), Long::sum);
        }
        mSentBytes += sent.getSerializedSize();
        if (mLoss.isLost(from, target)) {
            return;
        }
        ControlMessage message = mMessageTransform.apply(sent);
        long jitter = (long) (mRandom.nextDouble() * mMaxJitterNanoseconds);
        Runnable delivery = () -> target.deliver(from.mInstance.getId(), message);
        after(
                (sameRegion ? SAME_REGION_DELAY_NANOSECONDS : CROSS_REGION_DELAY_NANOSECONDS)
                        + jitter,
                delivery);
        if (mMaxJitterNanoseconds > 0) {
            mDeliveries.add(delivery);
        }
    }

    Topology topology(Document document) {
        return mTopologies.computeIfAbsent(document.version(), version -> Topology.of(document));
    }

    private void tick(FakeNode node) {
        if (!node.mDead) {
            node.tick();
            after(TICK_INTERVAL_NANOSECONDS, () -> tick(node));
        }
    }
}
