package org.foxtailmoor.standins.fleet;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.stream.Collectors;

/**
 * Identity and ports of one node and its target on loopback.
 *
 * @param id instance id
 * @param service service of the target
 * @param region region of the instance
 * @param zone zone of the instance
 * @param firstPort the target's port; the caller, node, control and admin ports follow it
 */
public record NodePlan(String id, String service, String region, String zone, int firstPort) {
    /** Ports that one node and its target take. */
    public static final int PORTS = 5;

    /** Address of every process. */
    public static final String ADDRESS = "127.0.0.1";

    /** Returns the address of the target. */
    public InetSocketAddress target() {
        return new InetSocketAddress(ADDRESS, firstPort);
    }

    /** Returns the address for callers. */
    public InetSocketAddress caller() {
        return new InetSocketAddress(ADDRESS, firstPort + 1);
    }

    /** Returns the address of the admin port. */
    public InetSocketAddress admin() {
        return new InetSocketAddress(ADDRESS, firstPort + 4);
    }

    /** Returns the entry of the instance list for this node. */
    public ObjectNode instance(String state) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("id", id)
                .put("service", service)
                .put("region", region)
                .put("zone", zone)
                .put("address", ADDRESS)
                .put("node_port", firstPort + 2)
                .put("control_port", firstPort + 3)
                .put("state", state);
    }

    /**
     * Returns the settings file of the node.
     *
     * @param platformPort port of the platform
     * @param seeds nodes that this one asks at its start besides the platform, may be empty
     */
    public String settings(int platformPort, List<NodePlan> seeds) {
        String addresses =
                seeds.stream()
                        .map(seed -> "\"" + ADDRESS + ":" + (seed.firstPort + 3) + "\"")
                        .collect(Collectors.joining(", "));
        return """
                [node]
                id = "%s"
                service = "%s"
                region = "%s"
                zone = "%s"
                address = "%s"
                caller_port = %d
                node_port = %d
                control_port = %d
                admin_port = %d

                [target]
                address = "%s"
                port = %d

                [platform]
                address = "%s"
                port = %d

                [peers]
                seeds = [%s]
                """
                .formatted(
                        id,
                        service,
                        region,
                        zone,
                        ADDRESS,
                        firstPort + 1,
                        firstPort + 2,
                        firstPort + 3,
                        firstPort + 4,
                        ADDRESS,
                        firstPort,
                        ADDRESS,
                        platformPort,
                        addresses);
    }
}
