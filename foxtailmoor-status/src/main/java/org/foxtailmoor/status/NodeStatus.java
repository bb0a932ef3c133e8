package org.foxtailmoor.status;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * State of a node as reported by {@code /status}.
 *
 * @param instance id of the node's instance
 * @param service id of the target's service
 * @param zone zone of the node
 * @param ready whether the node has finished starting
 * @param leaving whether the node is shutting down
 * @param catalogue state of the catalogue
 * @param instances state of the instance list
 * @param peerCatalogueVersions catalogue version of each peer, as far as the node knows
 * @param leavingUpstreams upstreams that are leaving
 * @param controlBytes bytes of control messages since the start of the node
 */
public record NodeStatus(
        String instance,
        String service,
        String zone,
        boolean ready,
        boolean leaving,
        TopicStatus catalogue,
        TopicStatus instances,
        List<String> peerCatalogueVersions,
        List<String> leavingUpstreams,
        ControlBytes controlBytes) {

    /**
     * Bytes of control messages.
     *
     * @param sent bytes sent
     * @param received bytes received
     * @param sentAcrossRegions bytes of those sent that went to other regions
     */
    public record ControlBytes(long sent, long received, long sentAcrossRegions) {}

    /** Copies the lists. */
    public NodeStatus {
        peerCatalogueVersions = List.copyOf(peerCatalogueVersions);
        leavingUpstreams = List.copyOf(leavingUpstreams);
    }

    /** Parses a state. Missing fields get empty values, unknown fields are ignored. */
    public static NodeStatus of(JsonNode json) {
        List<String> peers = new ArrayList<>();
        for (JsonNode peer : json.path("peers")) {
            peers.add(peer.path("catalogue_version").asText(""));
        }
        List<String> leavingUpstreams = new ArrayList<>();
        for (JsonNode upstream : json.path("leaving_upstreams")) {
            leavingUpstreams.add(upstream.isTextual() ? upstream.asText() : upstream.toString());
        }
        JsonNode bytes = json.path("control_bytes");
        return new NodeStatus(
                json.path("instance").asText(""),
                json.path("service").asText(""),
                json.path("zone").asText(""),
                json.path("ready").asBoolean(),
                json.path("leaving").asBoolean(),
                TopicStatus.of(json.path("catalogue")),
                TopicStatus.of(json.path("instances")),
                peers,
                leavingUpstreams,
                new ControlBytes(
                        bytes.path("sent").asLong(),
                        bytes.path("received").asLong(),
                        bytes.path("sent_across_regions").asLong()));
    }
}
