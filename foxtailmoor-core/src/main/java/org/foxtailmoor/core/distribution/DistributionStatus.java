package org.foxtailmoor.core.distribution;

import java.util.List;
import java.util.Optional;
import org.foxtailmoor.protocol.generated.DocumentVersion;
import org.foxtailmoor.protocol.generated.Topic;

/**
 * Snapshot of the distribution state of one node, for the admin port and the status program.
 *
 * @param ready whether startup has finished
 * @param leaving whether the node is leaving
 * @param topics state of each topic
 * @param peers peers that the node has heard from, by id
 */
public record DistributionStatus(
        boolean ready, boolean leaving, List<TopicStatus> topics, List<PeerStatus> peers) {
    /** Copies the lists. */
    public DistributionStatus {
        topics = List.copyOf(topics);
        peers = List.copyOf(peers);
    }

    /**
     * State of one topic.
     *
     * @param topic topic
     * @param version current version, {@code DocumentVersions.NONE} before the first
     * @param inForceMilliseconds time since the version became current, at least 0
     * @param from instance id of the sender or {@link DistributionEngine#FROM_SOURCE}; empty before
     *     the first version
     * @param sourceAgeMilliseconds time since any node last read the source, as far as this node
     *     knows; -1 if unknown
     * @param newestHeard highest version reported by a peer or the source and not refused as
     *     invalid
     * @param refused refused versions, oldest first
     * @param conflict two versions with the same number, if detected
     * @param sourceBehind whether the last read of the source returned a version older than the
     *     current one
     */
    public record TopicStatus(
            Topic topic,
            DocumentVersion version,
            long inForceMilliseconds,
            String from,
            long sourceAgeMilliseconds,
            DocumentVersion newestHeard,
            List<RefusedVersion> refused,
            Optional<VersionConflict> conflict,
            boolean sourceBehind) {
        /** Copies the list. */
        public TopicStatus {
            refused = List.copyOf(refused);
        }
    }

    /**
     * A version that was refused.
     *
     * @param version refused version
     * @param reason description of the fault
     * @param from instance id of the sender or {@link DistributionEngine#FROM_SOURCE}
     * @param ageMilliseconds time since the refusal, at least 0
     */
    public record RefusedVersion(
            DocumentVersion version, String reason, String from, long ageMilliseconds) {}

    /**
     * Two published versions with the same number.
     *
     * @param lower lower version in version order
     * @param higher higher version in version order, which takes precedence
     */
    public record VersionConflict(DocumentVersion lower, DocumentVersion higher) {}

    /**
     * State of a peer as known to the node.
     *
     * @param id instance id or seed id
     * @param connected whether a connection is open
     * @param ready whether the peer has finished startup
     * @param leaving whether the peer is leaving
     * @param catalogue catalogue version of the peer
     * @param instances instance list version of the peer
     * @param ageMilliseconds time since the last message from the peer, at least 0
     */
    public record PeerStatus(
            String id,
            boolean connected,
            boolean ready,
            boolean leaving,
            DocumentVersion catalogue,
            DocumentVersion instances,
            long ageMilliseconds) {}
}
