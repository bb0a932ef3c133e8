package org.foxtailmoor.core.distribution;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.foxtailmoor.core.membership.Fleet;
import org.foxtailmoor.protocol.Document;
import org.foxtailmoor.protocol.generated.Instance;
import org.foxtailmoor.protocol.generated.Topic;

/** The tables of one engine, and what is derived from the documents in force. */
final class DistributionState {
    static final List<Topic> TOPICS = List.of(Topic.TOPIC_CATALOGUE, Topic.TOPIC_INSTANCES);

    /** Largest number of seeds; more are ignored. */
    static final int LARGEST_SEEDS = 64;

    private final EngineContext mContext;
    private final Map<Topic, TopicRecord> mTopics = new EnumMap<>(Topic.class);
    private final PeerTable mPeers;
    private final Set<String> mSeeds = new LinkedHashSet<>();
    private final Map<String, String> mSeedInstances = new LinkedHashMap<>();
    private Topology mTopology = Topology.empty();
    private CatalogueFacts mFacts = CatalogueFacts.NONE;
    private boolean mReady;
    private boolean mLeaving;

    DistributionState(EngineContext context) {
        mContext = context;
        mPeers = new PeerTable(context.outbox());
        long delay = Milliseconds.toNanoseconds(context.settings().fetchDelayMilliseconds());
        for (Topic topic : TOPICS) {
            FetchPlan fetchPlan = new FetchPlan(delay, context.random());
            mTopics.put(topic, new TopicRecord(topic, fetchPlan, context.now()));
        }
    }

    /** Returns the record of a topic, or null for a topic that this program does not know. */
    TopicRecord topic(Topic topic) {
        return mTopics.get(topic);
    }

    TopicRecord instances() {
        return mTopics.get(Topic.TOPIC_INSTANCES);
    }

    PeerTable peers() {
        return mPeers;
    }

    Topology topology() {
        return mTopology;
    }

    Fleet fleet() {
        return mTopology.fleet();
    }

    CatalogueFacts facts() {
        return mFacts;
    }

    boolean isReady() {
        return mReady;
    }

    void setReady() {
        mReady = true;
    }

    boolean isLeaving() {
        return mLeaving;
    }

    void setLeaving() {
        mLeaving = true;
    }

    Set<String> seeds() {
        return mSeeds;
    }

    void addSeed(String peerId) {
        if (mSeeds.size() < LARGEST_SEEDS) {
            mSeeds.add(peerId);
        }
    }

    /** Takes notice which instance a seed turned out to be. */
    void resolveSeed(String seedId, String instanceId) {
        if (mSeeds.contains(seedId)) {
            mSeedInstances.put(seedId, instanceId);
        }
    }

    /** Returns the instance id of a peer that may be a seed. */
    String instanceIdOf(String peerId) {
        return mSeedInstances.getOrDefault(peerId, peerId);
    }

    /** Returns whether a peer is in the node's region. Peers that are not listed count as such. */
    boolean isInOwnRegion(String peerId) {
        Instance peer = fleet().find(instanceIdOf(peerId));
        return peer == null || peer.getRegion().equals(mContext.self().getRegion());
    }

    /** Returns whether this node reads the source by the instance list in force. */
    boolean isReader() {
        return readerIndex() >= 0;
    }

    /** Returns the position of this node among the readers, -1 if it is not one. */
    int readerIndex() {
        return mTopology.readerIndex(
                mFacts.sourceRegion(),
                mContext.self().getId(),
                mContext.settings().readersPerZone());
    }

    /** Returns the position of this node in the order of readers. */
    int readerRank() {
        return mTopology.readerRank(mFacts.sourceRegion(), mContext.self().getId());
    }

    /** Takes over what follows from a document that came into force. */
    void derive(Topic topic, Document document, Topology topology) {
        if (topic == Topic.TOPIC_INSTANCES) {
            mTopology = topology;
        } else {
            mFacts = CatalogueFacts.of(document, mContext.self().getServiceId());
        }
    }
}
