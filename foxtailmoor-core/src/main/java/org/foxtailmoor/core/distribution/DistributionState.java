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

/** Mutable state of one engine, including what is derived from the current documents. */
final class DistributionState {
    static final List<Topic> TOPICS = List.of(Topic.TOPIC_CATALOGUE, Topic.TOPIC_INSTANCES);

    /** Maximum number of seeds; further ones are ignored. */
    static final int MAX_SEEDS = 64;

    private final EngineContext mContext;
    private final Map<Topic, TopicRecord> mTopics = new EnumMap<>(Topic.class);
    private final PeerTable mPeers;
    private final Set<String> mSeeds = new LinkedHashSet<>();
    private final Map<String, String> mSeedInstances = new LinkedHashMap<>();
    private Topology mTopology = Topology.empty();
    private CatalogueRegions mCatalogueRegions = CatalogueRegions.NONE;
    private boolean mReady;
    private boolean mLeaving;

    DistributionState(EngineContext context) {
        mContext = context;
        mPeers = new PeerTable(context.outbox());
        long delay = Milliseconds.toNanoseconds(context.settings().fetchDelayMilliseconds());
        for (Topic topic : TOPICS) {
            FetchScheduler fetchScheduler = new FetchScheduler(delay, context.random());
            mTopics.put(topic, new TopicRecord(topic, fetchScheduler, context.now()));
        }
    }

    /** Returns the record of a topic, or null if the topic is unknown. */
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

    CatalogueRegions catalogueRegions() {
        return mCatalogueRegions;
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
        if (mSeeds.size() < MAX_SEEDS) {
            mSeeds.add(peerId);
        }
    }

    /** Records the instance id of a seed; ids that are not seeds are ignored. */
    void resolveSeed(String seedId, String instanceId) {
        if (mSeeds.contains(seedId)) {
            mSeedInstances.put(seedId, instanceId);
        }
    }

    /** Returns the instance id of a peer, resolving seed ids where the instance is known. */
    String instanceIdOf(String peerId) {
        return mSeedInstances.getOrDefault(peerId, peerId);
    }

    /** Returns whether a peer is in the node's region. Unlisted peers are assumed to be in it. */
    boolean isInOwnRegion(String peerId) {
        Instance peer = fleet().find(instanceIdOf(peerId));
        return peer == null || peer.getRegion().equals(mContext.self().getRegion());
    }

    /**
     * Returns whether this node is a reader of the source according to the current instance list.
     */
    boolean isReader() {
        return readerIndex() >= 0;
    }

    /** Returns the position of this node among the readers, -1 if it is not one. */
    int readerIndex() {
        return mTopology.readerIndex(
                mCatalogueRegions.sourceRegion(),
                mContext.self().getId(),
                mContext.settings().readersPerZone());
    }

    /** Returns the rank of this node in the order in which nodes read the source. */
    int readerRank() {
        return mTopology.readerRank(mCatalogueRegions.sourceRegion(), mContext.self().getId());
    }

    /** Updates the derived state after a document has become current. */
    void applyDocument(Topic topic, Document document, Topology topology) {
        if (topic == Topic.TOPIC_INSTANCES) {
            mTopology = topology;
        } else {
            mCatalogueRegions = CatalogueRegions.of(document, mContext.self().getServiceId());
        }
    }
}
