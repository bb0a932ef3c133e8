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

/** Answers with the versions in force, how they came, peers, leaving upstreams and byte counts. */
public final class StatusEndpoint implements AdminEndpoint {
    private static final JsonNodeFactory JSON = JsonNodeFactory.instance;

    private final NodeSettings.NodeSection mNode;
    private final ControlPlane mControl;
    private final Supplier<Collection<String>> mLeavingUpstreams;

    /**
     * Creates the endpoint.
     *
     * @param node who the node is
     * @param control source of the state
     * @param leavingUpstreams ids of the upstreams known to be leaving; called on the control loop
     */
    public StatusEndpoint(
            NodeSettings.NodeSection node,
            ControlPlane control,
            Supplier<Collection<String>> leavingUpstreams) {
        mNode = node;
        mControl = control;
        mLeavingUpstreams = leavingUpstreams;
    }

    @Override
    public CompletableFuture<AdminResponse> answer(Map<String, List<String>> parameters) {
        return mControl.status().thenApply(status -> AdminResponse.json(200, bodyOf(status)));
    }

    private ObjectNode bodyOf(DistributionStatus status) {
        ObjectNode body =
                JSON.objectNode()
                        .put("instance", mNode.id())
                        .put("service", mNode.service())
                        .put("region", mNode.region())
                        .put("zone", mNode.zone())
                        .put("ready", status.ready())
                        .put("leaving", status.leaving());
        for (DistributionStatus.TopicStatus topic : status.topics()) {
            body.set(nameOf(topic.topic()), of(topic));
        }
        ArrayNode peers = body.putArray("peers");
        status.peers().forEach(peer -> peers.add(of(peer)));
        ArrayNode leaving = body.putArray("leaving_upstreams");
        mLeavingUpstreams.get().forEach(leaving::add);
        body.set("control_bytes", of(mControl.controlBytes()));
        return body;
    }

    private static String nameOf(Topic topic) {
        return topic == Topic.TOPIC_CATALOGUE ? "catalogue" : "instances";
    }

    private static ObjectNode of(DistributionStatus.TopicStatus topic) {
        ObjectNode body =
                JSON.objectNode()
                        .put("version", textOf(topic.version()))
                        .put("number", topic.version().getNumber())
                        .put("in_force_milliseconds", topic.inForceMilliseconds())
                        .put("from", topic.from())
                        .put("source_age_milliseconds", topic.sourceAgeMilliseconds())
                        .put("newest_heard", textOf(topic.newestHeard()))
                        .put("source_behind", topic.sourceBehind())
                        .put("conflict", topic.conflict().map(StatusEndpoint::textOf).orElse(null));
        ArrayNode refused = body.putArray("refused");
        for (DistributionStatus.RefusedVersion version : topic.refused()) {
            refused.addObject()
                    .put("version", textOf(version.version()))
                    .put("reason", version.reason())
                    .put("from", version.from())
                    .put("age_milliseconds", version.ageMilliseconds());
        }
        return body;
    }

    private static ObjectNode of(DistributionStatus.PeerStatus peer) {
        return JSON.objectNode()
                .put("id", peer.id())
                .put("connected", peer.connected())
                .put("ready", peer.ready())
                .put("leaving", peer.leaving())
                .put("catalogue_version", textOf(peer.catalogue()))
                .put("instances_version", textOf(peer.instances()))
                .put("age_milliseconds", peer.ageMilliseconds());
    }

    private static ObjectNode of(ControlBytes bytes) {
        return JSON.objectNode()
                .put("sent", bytes.sent())
                .put("received", bytes.received())
                .put("sent_across_regions", bytes.sentAcrossRegions());
    }

    private static String textOf(DistributionStatus.VersionConflict conflict) {
        return textOf(conflict.higher()) + " replaces " + textOf(conflict.lower());
    }

    private static String textOf(DocumentVersion version) {
        return version.equals(DocumentVersions.NONE) ? "none" : DocumentVersions.format(version);
    }
}
