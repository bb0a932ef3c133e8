package org.foxtailmoor.core.distribution;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.foxtailmoor.core.membership.Fleet;
import org.foxtailmoor.protocol.Document;
import org.foxtailmoor.protocol.DocumentVersions;
import org.foxtailmoor.protocol.generated.Advert;
import org.foxtailmoor.protocol.generated.DocumentVersion;
import org.foxtailmoor.protocol.generated.Instance;
import org.foxtailmoor.protocol.generated.Topic;
import org.foxtailmoor.protocol.generated.TopicState;

/**
 * Decides when a starting node may serve. A process keeps no state across restarts, so it queries
 * peers first; otherwise it could serve an older version than it did before the restart.
 */
final class StartupCoordinator {
    /** Time after which a node with too few answers may serve the version of the source. */
    static final long ISOLATION_TIMEOUT_NANOSECONDS = Milliseconds.toNanoseconds(10_000);

    /** Maximum number of answers kept. */
    static final int MAX_ANSWERS = 64;

    private static final int REQUIRED_ANSWERS = 3;
    private static final int REQUIRED_ZONES = 2;
    // Answers of starting peers count only after this time. When many nodes restart at once, most
    // of the first answers come from nodes without a document, while only a few nodes know the
    // newest version. A node queries about 24 peers in this time.
    private static final long INITIAL_PHASE_NANOSECONDS = Milliseconds.toNanoseconds(2_000);
    private static final long ROUND_INTERVAL_NANOSECONDS = Milliseconds.toNanoseconds(300);
    private static final int PEERS_PER_ROUND = 4;
    // Older answers are discarded and requested again: the peer may have died and may have been the
    // only holder of a version.
    private static final long ANSWER_LIFETIME_NANOSECONDS = Milliseconds.toNanoseconds(10_000);

    private record Answer(
            boolean ready, Map<Topic, DocumentVersion> versions, long receivedNanoseconds) {}

    private final EngineContext mContext;
    private final DistributionState mState;
    private final AdvertSender mAdvertSender;
    private final long mStartedNanoseconds;
    private final Map<String, Answer> mAnswers = new LinkedHashMap<>();
    private final Map<Topic, Boolean> mSourceReadTopics = new EnumMap<>(Topic.class);
    private long mNextRoundNanoseconds;

    StartupCoordinator(EngineContext context, DistributionState state, AdvertSender adverts) {
        mContext = context;
        mState = state;
        mAdvertSender = adverts;
        mStartedNanoseconds = context.now();
        mNextRoundNanoseconds = context.now();
    }

    /** Returns the time since this process started. */
    long elapsedNanoseconds() {
        return mContext.now() - mStartedNanoseconds;
    }

    /**
     * Returns whether the node still has too few answers after the isolation timeout, so that it
     * relies on the source.
     */
    boolean isIsolated() {
        return elapsedNanoseconds() >= ISOLATION_TIMEOUT_NANOSECONDS && !hasQuorum();
    }

    /** Returns whether any peer has reported a version of a topic. */
    boolean isKnownToPeers(Topic topic) {
        return mAnswers.values().stream().anyMatch(answer -> answer.versions().containsKey(topic));
    }

    /** Records that the source has answered for a topic. */
    void recordSourceRead(Topic topic) {
        mSourceReadTopics.put(topic, true);
    }

    /** Records the versions in a peer's advert, until the node is ready. */
    void recordAnswer(String instanceId, Advert advert) {
        if (mState.isReady()) {
            return;
        }
        Map<Topic, DocumentVersion> versions = new EnumMap<>(Topic.class);
        for (TopicState state : advert.getTopicsList()) {
            if (state.hasVersion()) {
                versions.put(state.getTopic(), state.getVersion());
            }
        }
        mAnswers.remove(instanceId);
        mAnswers.put(instanceId, new Answer(advert.getReady(), versions, mContext.now()));
        if (mAnswers.size() > MAX_ANSWERS) {
            mAnswers.remove(mAnswers.keySet().iterator().next());
        }
    }

    void onTick() {
        if (mState.isReady()) {
            return;
        }
        long now = mContext.now();
        mAnswers.values()
                .removeIf(
                        answer -> now - answer.receivedNanoseconds() > ANSWER_LIFETIME_NANOSECONDS);
        if (canServe()) {
            mState.setReady();
            mAnswers.clear();
        } else if (now - mNextRoundNanoseconds >= 0) {
            mNextRoundNanoseconds = now + ROUND_INTERVAL_NANOSECONDS;
            choosePeersToQuery()
                    .forEach(peer -> mAdvertSender.sendRequest(peer, DistributionState.TOPICS));
        }
    }

    private boolean canServe() {
        for (Topic topic : DistributionState.TOPICS) {
            if (mState.topic(topic).document() == Document.EMPTY || !hasHighestVersion(topic)) {
                return false;
            }
        }
        return hasQuorum() || isIsolated() && hasReadSource();
    }

    private boolean hasReadSource() {
        return DistributionState.TOPICS.stream().allMatch(mSourceReadTopics::containsKey);
    }

    private boolean hasHighestVersion(Topic topic) {
        TopicRecord record = mState.topic(topic);
        return mAnswers.values().stream()
                .filter(Answer::ready)
                .map(answer -> answer.versions().getOrDefault(topic, DocumentVersions.NONE))
                .noneMatch(record::isApplicable);
    }

    private boolean hasQuorum() {
        if (mState.instances().document() == Document.EMPTY) {
            return false;
        }
        boolean initialPhaseOver = elapsedNanoseconds() >= INITIAL_PHASE_NANOSECONDS;
        List<Instance> answering = new ArrayList<>();
        mAnswers.forEach(
                (id, answer) -> {
                    Instance peer = mState.fleet().find(id);
                    if (peer != null && isLivePeer(peer) && (initialPhaseOver || answer.ready())) {
                        answering.add(peer);
                    }
                });
        Map<String, Integer> live = new HashMap<>(mState.fleet().liveByZone());
        Instance self = mState.fleet().find(mContext.self().getId());
        if (self != null && !self.getLeaving()) {
            live.merge(self.getZone(), -1, Integer::sum);
        }
        int livePeers = live.values().stream().mapToInt(Integer::intValue).sum();
        long liveZones = live.values().stream().filter(count -> count > 0).count();
        long zones = answering.stream().map(Instance::getZone).distinct().count();
        return answering.size() >= Math.min(REQUIRED_ANSWERS, livePeers)
                && zones >= Math.min(REQUIRED_ZONES, liveZones);
    }

    private boolean isLivePeer(Instance instance) {
        return !instance.getLeaving() && !instance.getId().equals(mContext.self().getId());
    }

    /**
     * Returns random peers to query: in the initial phase from the own region if it is large
     * enough, then from the whole fleet.
     */
    private List<String> choosePeersToQuery() {
        Fleet fleet = mState.fleet();
        String region = mContext.self().getRegion();
        boolean regionSuffices =
                fleet.ofRegion(region).size() > REQUIRED_ANSWERS
                        && fleet.zonesOf(region).size() >= REQUIRED_ZONES;
        boolean ownRegionOnly = regionSuffices && elapsedNanoseconds() < INITIAL_PHASE_NANOSECONDS;
        List<Instance> instances = ownRegionOnly ? fleet.ofRegion(region) : fleet.instances();
        List<String> candidates = new ArrayList<>();
        for (Instance instance : instances) {
            Answer answer = mAnswers.get(instance.getId());
            if (isLivePeer(instance) && (answer == null || !answer.ready())) {
                candidates.add(instance.getId());
            }
        }
        if (instances.isEmpty()) {
            candidates.addAll(mState.seeds());
        }
        List<String> chosen = new ArrayList<>();
        while (chosen.size() < PEERS_PER_ROUND && !candidates.isEmpty()) {
            int index = mContext.random().nextInt(candidates.size());
            chosen.add(candidates.get(index));
            candidates.set(index, candidates.get(candidates.size() - 1));
            candidates.remove(candidates.size() - 1);
        }
        return chosen;
    }
}
