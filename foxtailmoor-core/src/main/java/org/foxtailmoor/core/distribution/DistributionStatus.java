package org.foxtailmoor.core.distribution;

import java.util.List;
import java.util.Optional;
import org.foxtailmoor.protocol.generated.DocumentVersion;
import org.foxtailmoor.protocol.generated.Topic;

/**
 * State of the distribution at one node at one moment, for the admin port and the status program.
 *
 * @param ready whether the start has finished
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
     * @param version version in force, {@code DocumentVersions.NONE} before the first
     * @param inForceMilliseconds time since the version took effect, at least 0
     * @param from instance id of the sender or {@link DistributionEngine#FROM_SOURCE}; empty before
     *     the first version
     * @param sourceAgeMilliseconds time since any reader read the source, as far as known; -1 if
     *     unknown
     * @param newestHeard highest version that a peer or the source stated and that was not refused
     * @param refused refused versions, the latest last
     * @param conflict two versions with one number, if seen
     * @param sourceBehind whether the last read of the source returned an older version than the
     *     one in force
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
     * A version that was not put in force.
     *
     * @param version version that was refused
     * @param reason fault text
     * @param from instance id of the sender or {@link DistributionEngine#FROM_SOURCE}
     * @param ageMilliseconds time since the refusal, at least 0
     */
    public record RefusedVersion(
            DocumentVersion version, String reason, String from, long ageMilliseconds) {}

    /**
     * Two publications with the same number.
     *
     * @param lower version that comes first in the order
     * @param higher version that comes second and therefore takes effect
     */
    public record VersionConflict(DocumentVersion lower, DocumentVersion higher) {}

    /**
     * What the node knows of a peer.
     *
     * @param id instance id or seed id
     * @param connected whether a connection is open
     * @param ready whether the peer has finished its start
     * @param leaving whether the peer is leaving
     * @param catalogue version of the catalogue at the peer
     * @param instances version of the instance list at the peer
     * @param ageMilliseconds time since the peer was last heard, at least 0
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
