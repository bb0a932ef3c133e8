package org.foxtailmoor.core.distribution;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.foxtailmoor.core.distribution.DistributionStatus.PeerStatus;
import org.foxtailmoor.core.distribution.DistributionStatus.TopicStatus;
import org.foxtailmoor.protocol.generated.Topic;

/** Builds the status snapshot of an engine. */
final class StatusBuilder {
    private static final long UNKNOWN_AGE = -1;

    private StatusBuilder() {}

    static DistributionStatus build(DistributionState state, long nowNanoseconds) {
        List<TopicStatus> topics = new ArrayList<>();
        for (Topic topic : DistributionState.TOPICS) {
            topics.add(topic(state.topic(topic), nowNanoseconds));
        }
        List<PeerStatus> peers = new ArrayList<>();
        for (Peer peer : state.peers().list()) {
            peers.add(peer(peer, nowNanoseconds));
        }
        peers.sort(Comparator.comparing(PeerStatus::id));
        return new DistributionStatus(state.isReady(), state.isLeaving(), topics, peers);
    }

    private static TopicStatus topic(TopicRecord record, long nowNanoseconds) {
        SourceAge age = record.sourceAge();
        return new TopicStatus(
                record.topic(),
                record.version(),
                Milliseconds.fromNanoseconds(nowNanoseconds - record.appliedNanoseconds()),
                record.from(),
                age.isKnown()
                        ? Milliseconds.fromNanoseconds(age.ageNanoseconds(nowNanoseconds))
                        : UNKNOWN_AGE,
                record.newestHeard(),
                record.refused().list(nowNanoseconds),
                record.conflict(),
                record.isSourceBehind());
    }

    private static PeerStatus peer(Peer peer, long nowNanoseconds) {
        return new PeerStatus(
                peer.id(),
                peer.isConnected(),
                peer.isReady(),
                peer.isLeaving(),
                peer.version(Topic.TOPIC_CATALOGUE),
                peer.version(Topic.TOPIC_INSTANCES),
                Milliseconds.fromNanoseconds(nowNanoseconds - peer.lastMessageNanoseconds()));
    }
}
