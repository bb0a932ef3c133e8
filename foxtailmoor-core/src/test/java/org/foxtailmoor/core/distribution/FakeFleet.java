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
 * Engines joined by a queue of delayed messages under one mock ticker, and a source that can be
 * down or stale. Delays are assumed: 0.5 ms within a region, 30 ms between regions, 2 ms for the
 * source.
 */
final class FakeFleet {
    static final long MILLISECOND = 1_000_000;
    private static final long NEAR = MILLISECOND / 2;
    private static final long FAR = 30 * MILLISECOND;
    private static final long SOURCE = 2 * MILLISECOND;
    private static final long TICK = 100 * MILLISECOND;

    private record Event(long time, long order, Runnable action) {}

    /** Decides whether a message is lost. */
    interface Loss {
        boolean isLost(FakeNode from, FakeNode to);
    }

    final MockTicker mTicker = Ticker.newMockTicker();
    final RandomGenerator mRandom;
    final Map<String, FakeNode> mNodes = new TreeMap<>();
    final Map<Topic, Document> mSource = new EnumMap<>(Topic.class);
    final Deque<Runnable> mReplays = new ArrayDeque<>();
    final Map<ControlMessage.KindCase, Long> mCrossBytes =
            new EnumMap<>(ControlMessage.KindCase.class);
    long mBytes;
    int mPolls;
    Predicate<FakeNode> mReachesSource = node -> true;
    long mDelayJitter;
    Loss mLoss = (from, to) -> false;
    UnaryOperator<ControlMessage> mTamper = message -> message;
    DistributionSettings mSettings = DistributionSettings.DEFAULT;
    private final Map<DocumentVersion, Topology> mTopologies = new HashMap<>();
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    (a, b) ->
                            a.time() == b.time()
                                    ? Long.compare(a.order(), b.order())
                                    : Long.compare(a.time(), b.time()));
    private long mOrder;

    FakeFleet(RandomGenerator random) {
        mRandom = random;
    }

    /** Creates a fleet in which every node has the list and a catalogue, and is ready. */
    static FakeFleet warm(RandomGenerator random, List<Instance> instances, Document catalogue) {
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

    /** Starts a process; an earlier one with the same id no longer gets messages. */
    FakeNode start(Instance instance, List<String> seeds) {
        FakeNode node = new FakeNode(this, instance, seeds);
        mNodes.put(instance.getId(), node);
        after((long) (mRandom.nextDouble() * TICK), () -> tick(node));
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

    /** Publishes at the source; readers that watch read it after the source's delay. */
    void publish(Topic topic, Document document) {
        mSource.put(topic, document);
        live().stream()
                .filter(node -> node.mRoles.get(topic) == SourceRole.WATCH)
                .forEach(node -> after(SOURCE, () -> node.readSource(topic)));
    }

    void run(long milliseconds) {
        runUntil(milliseconds, () -> false);
    }

    /** Runs until a condition holds or a time has passed, and returns whether it holds. */
    boolean runUntil(long milliseconds, BooleanSupplier condition) {
        long end = mTicker.nanoTime() + milliseconds * MILLISECOND;
        while (!mEvents.isEmpty() && mEvents.peek().time() <= end) {
            Event event = mEvents.poll();
            mTicker.advance(event.time() - mTicker.nanoTime(), TimeUnit.NANOSECONDS);
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
        mEvents.add(new Event(mTicker.nanoTime() + nanoseconds, mOrder++, action));
    }

    void send(FakeNode from, String to, ControlMessage sent) {
        FakeNode target = mNodes.get(to);
        if (from.mDead || target == null) {
            return;
        }
        boolean near = from.mInstance.getRegion().equals(target.mInstance.getRegion());
        if (!near) {
            mCrossBytes.merge(sent.getKindCase(), (long) sent.getSerializedSize(), Long::sum);
        }
        mBytes += sent.getSerializedSize();
        if (mLoss.isLost(from, target)) {
            return;
        }
        ControlMessage message = mTamper.apply(sent);
        long jitter = (long) (mRandom.nextDouble() * mDelayJitter);
        Runnable delivery = () -> target.deliver(from.mInstance.getId(), message);
        after((near ? NEAR : FAR) + jitter, delivery);
        if (mDelayJitter > 0) {
            mReplays.add(delivery);
        }
    }

    Topology topology(Document document) {
        return mTopologies.computeIfAbsent(document.version(), version -> Topology.of(document));
    }

    private void tick(FakeNode node) {
        if (!node.mDead) {
            node.tick();
            after(TICK, () -> tick(node));
        }
    }
}
