package org.foxtailmoor.node.admin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.foxtailmoor.core.distribution.DistributionStatus;
import org.foxtailmoor.node.NodeSettings;
import org.foxtailmoor.node.control.ControlBytes;
import org.foxtailmoor.node.control.ControlPlane;
import org.foxtailmoor.protocol.DocumentVersions;
import org.foxtailmoor.protocol.generated.DocumentVersion;
import org.foxtailmoor.protocol.generated.Topic;

/**
 * Reports the active document versions and where they came from, the peers, the upstreams that are
 * leaving and the byte counts of the control connections.
 */
public final class StatusEndpoint implements AdminEndpoint {
    private static final JsonNodeFactory JSON = JsonNodeFactory.instance;
    private static final int STATUS_OK = 200;

    private final NodeSettings.NodeSection mNode;
    private final ControlPlane mControlPlane;
    private final Supplier<Collection<String>> mLeavingUpstreams;

    /**
     * Creates the endpoint.
     *
     * @param node identity of the node
     * @param controlPlane control plane that provides the state
     * @param leavingUpstreams supplies the ids of the upstreams that are leaving; called on the
     *     control loop
     */
    public StatusEndpoint(
            NodeSettings.NodeSection node,
            ControlPlane controlPlane,
            Supplier<Collection<String>> leavingUpstreams) {
        mNode = node;
        mControlPlane = controlPlane;
        mLeavingUpstreams = leavingUpstreams;
    }

    @Override
    public CompletableFuture<AdminResponse> handle(Map<String, List<String>> parameters) {
        return mControlPlane
                .status()
                .thenApply(status -> AdminResponse.json(STATUS_OK, toJson(status)));
    }

    private ObjectNode toJson(DistributionStatus status) {
        ObjectNode body =
                JSON.objectNode()
                        .put("instance", mNode.id())
                        .put("service", mNode.service())
                        .put("region", mNode.region())
                        .put("zone", mNode.zone())
                        .put("ready", status.ready())
                        .put("leaving", status.leaving());
        for (DistributionStatus.TopicStatus topic : status.topics()) {
            body.set(fieldNameOf(topic.topic()), toJson(topic));
        }
        ArrayNode peers = body.putArray("peers");
        status.peers().forEach(peer -> peers.add(toJson(peer)));
        ArrayNode leaving = body.putArray("leaving_upstreams");
        mLeavingUpstreams.get().forEach(leaving::add);
        body.set("control_bytes", toJson(mControlPlane.controlBytes()));
        return body;
    }

    private static String fieldNameOf(Topic topic) {
        return topic == Topic.TOPIC_CATALOGUE ? "catalogue" : "instances";
    }

    private static ObjectNode toJson(DistributionStatus.TopicStatus topic) {
        ObjectNode body =
                JSON.objectNode()
                        .put("version", format(topic.version()))
                        .put("number", topic.version().getNumber())
                        .put("in_force_milliseconds", topic.inForceMilliseconds())
                        .put("from", topic.from())
                        .put("source_age_milliseconds", topic.sourceAgeMilliseconds())
                        .put("newest_heard", format(topic.newestHeard()))
                        .put("source_behind", topic.sourceBehind())
                        .put("conflict", topic.conflict().map(StatusEndpoint::format).orElse(null));
        ArrayNode refused = body.putArray("refused");
        for (DistributionStatus.RefusedVersion version : topic.refused()) {
            refused.addObject()
                    .put("version", format(version.version()))
                    .put("reason", version.reason())
                    .put("from", version.from())
                    .put("age_milliseconds", version.ageMilliseconds());
        }
        return body;
    }

    private static ObjectNode toJson(DistributionStatus.PeerStatus peer) {
        return JSON.objectNode()
                .put("id", peer.id())
                .put("connected", peer.connected())
                .put("ready", peer.ready())
                .put("leaving", peer.leaving())
                .put("catalogue_version", format(peer.catalogue()))
                .put("instances_version", format(peer.instances()))
                .put("age_milliseconds", peer.ageMilliseconds());
    }

    private static ObjectNode toJson(ControlBytes bytes) {
        return JSON.objectNode()
                .put("sent", bytes.sent())
                .put("received", bytes.received())
                .put("sent_across_regions", bytes.sentAcrossRegions());
    }

    private static String format(DistributionStatus.VersionConflict conflict) {
        return format(conflict.higher()) + " replaces " + format(conflict.lower());
    }

    private static String format(DocumentVersion version) {
        return version.equals(DocumentVersions.NONE) ? "none" : DocumentVersions.format(version);
    }
}
