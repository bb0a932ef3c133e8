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
 * Decides when a starting node may serve. A process has no memory of earlier runs, so it asks peers
 * first; otherwise it could serve an older version than the one it served before.
 */
final class StartSystem {
    /** Time after which a node with too few answers may take the source's version. */
    static final long ALONE_NANOSECONDS = Milliseconds.toNanoseconds(10_000);

    /** Largest number of answers kept. */
    static final int LARGEST_ANSWERS = 64;

    private static final int ANSWERS_NEEDED = 3;
    private static final int ZONES_NEEDED = 2;
    // Answers of starting peers count only after this time. When many nodes return at once, most
    // of the first answers come from nodes that know nothing, while a few nodes know the newest
    // version; in this time a node asks about 24 peers.
    private static final long SETTLE_NANOSECONDS = Milliseconds.toNanoseconds(2_000);
    private static final long ROUND_NANOSECONDS = Milliseconds.toNanoseconds(300);
    private static final int ASKED_PER_ROUND = 4;
    // An answer that is older is asked for again: its peer, perhaps the only holder of a version,
    // may have died.
    private static final long ANSWER_NANOSECONDS = Milliseconds.toNanoseconds(10_000);

    private record Answer(
            boolean ready, Map<Topic, DocumentVersion> versions, long atNanoseconds) {}

    private final EngineContext mContext;
    private final DistributionState mState;
    private final AdvertWriter mAdverts;
    private final long mStartedNanoseconds;
    private final Map<String, Answer> mAnswers = new LinkedHashMap<>();
    private final Map<Topic, Boolean> mSourceRead = new EnumMap<>(Topic.class);
    private long mNextRoundNanoseconds;

    StartSystem(EngineContext context, DistributionState state, AdvertWriter adverts) {
        mContext = context;
        mState = state;
        mAdverts = adverts;
        mStartedNanoseconds = context.now();
        mNextRoundNanoseconds = context.now();
    }

    /** Returns the time since the start of the process. */
    long elapsedNanoseconds() {
        return mContext.now() - mStartedNanoseconds;
    }

    /** Returns whether the node got too few answers for so long that it takes the source's. */
    boolean isAlone() {
        return elapsedNanoseconds() >= ALONE_NANOSECONDS && !hasQuorum();
    }

    /** Returns whether a peer stated any version of a topic. */
    boolean isKnownToPeers(Topic topic) {
        return mAnswers.values().stream().anyMatch(answer -> answer.versions().containsKey(topic));
    }

    /** Takes notice that the source answered. */
    void sourceRead(Topic topic) {
        mSourceRead.put(topic, true);
    }

    /** Takes notice of a peer's advert. */
    void answered(String instanceId, Advert advert) {
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
        if (mAnswers.size() > LARGEST_ANSWERS) {
            mAnswers.remove(mAnswers.keySet().iterator().next());
        }
    }

    void onTick() {
        if (mState.isReady()) {
            return;
        }
        long now = mContext.now();
        mAnswers.values().removeIf(answer -> now - answer.atNanoseconds() > ANSWER_NANOSECONDS);
        if (mayServe()) {
            mState.setReady();
            mAnswers.clear();
        } else if (now - mNextRoundNanoseconds >= 0) {
            mNextRoundNanoseconds = now + ROUND_NANOSECONDS;
            choosePeers().forEach(peer -> mAdverts.ask(peer, DistributionState.TOPICS));
        }
    }

    private boolean mayServe() {
        for (Topic topic : DistributionState.TOPICS) {
            if (mState.topic(topic).document() == Document.EMPTY || !hasHighest(topic)) {
                return false;
            }
        }
        return hasQuorum() || isAlone() && hasReadSource();
    }

    private boolean hasReadSource() {
        return DistributionState.TOPICS.stream().allMatch(mSourceRead::containsKey);
    }

    private boolean hasHighest(Topic topic) {
        TopicRecord record = mState.topic(topic);
        return mAnswers.values().stream()
                .filter(Answer::ready)
                .map(answer -> answer.versions().getOrDefault(topic, DocumentVersions.NONE))
                .noneMatch(record::isWanted);
    }

    private boolean hasQuorum() {
        if (mState.instances().document() == Document.EMPTY) {
            return false;
        }
        boolean settled = elapsedNanoseconds() >= SETTLE_NANOSECONDS;
        List<Instance> answering = new ArrayList<>();
        mAnswers.forEach(
                (id, answer) -> {
                    Instance peer = mState.fleet().find(id);
                    if (peer != null && isLivePeer(peer) && (settled || answer.ready())) {
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
        return answering.size() >= Math.min(ANSWERS_NEEDED, livePeers)
                && zones >= Math.min(ZONES_NEEDED, liveZones);
    }

    private boolean isLivePeer(Instance instance) {
        return !instance.getLeaving() && !instance.getId().equals(mContext.self().getId());
    }

    /** Returns random peers to ask: of the own region at first, then of the whole fleet. */
    private List<String> choosePeers() {
        Fleet fleet = mState.fleet();
        String region = mContext.self().getRegion();
        boolean regionSuffices =
                fleet.ofRegion(region).size() > ANSWERS_NEEDED
                        && fleet.zonesOf(region).size() >= ZONES_NEEDED;
        boolean nearOnly = regionSuffices && elapsedNanoseconds() < SETTLE_NANOSECONDS;
        List<Instance> instances = nearOnly ? fleet.ofRegion(region) : fleet.instances();
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
        while (chosen.size() < ASKED_PER_ROUND && !candidates.isEmpty()) {
            int index = mContext.random().nextInt(candidates.size());
            chosen.add(candidates.get(index));
            candidates.set(index, candidates.get(candidates.size() - 1));
            candidates.remove(candidates.size() - 1);
        }
        return chosen;
    }
}
