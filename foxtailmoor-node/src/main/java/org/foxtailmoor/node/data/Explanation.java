package org.foxtailmoor.node.data;

import java.util.List;
import java.util.Objects;
import org.foxtailmoor.core.routing.LinkState;
import org.foxtailmoor.core.routing.Route;
import org.foxtailmoor.core.routing.Upstream;
import org.foxtailmoor.protocol.generated.DocumentVersion;

/**
 * Describes how a node would currently route a request.
 *
 * @param route matching route
 * @param catalogueVersion version of the catalogue in force
 * @param instancesVersion version of the instance list in force
 * @param upstreams upstreams of the route's service in all regions, including leaving ones
 */
public record Explanation(
        Route route,
        DocumentVersion catalogueVersion,
        DocumentVersion instancesVersion,
        List<UpstreamState> upstreams) {
    /** Checks that no component is null and copies the list. */
    public Explanation {
        Objects.requireNonNull(route, "route");
        Objects.requireNonNull(catalogueVersion, "catalogueVersion");
        Objects.requireNonNull(instancesVersion, "instancesVersion");
        upstreams = List.copyOf(upstreams);
    }

    /**
     * State of one upstream as known to the node.
     *
     * @param upstream upstream from the instance list
     * @param load expected load as a fraction of its slots
     * @param linkState state of the link to it
     * @param unreachable whether the upstream is ejected because its link failed
     */
    public record UpstreamState(
            Upstream upstream, double load, LinkState linkState, boolean unreachable) {}
}
