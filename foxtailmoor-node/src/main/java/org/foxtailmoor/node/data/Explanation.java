package org.foxtailmoor.node.data;

import java.util.List;
import java.util.Objects;
import org.foxtailmoor.core.routing.LinkState;
import org.foxtailmoor.core.routing.Route;
import org.foxtailmoor.core.routing.Upstream;
import org.foxtailmoor.protocol.generated.DocumentVersion;

/**
 * How a node would route a request now.
 *
 * @param route route that matches
 * @param catalogueVersion version of the catalogue that decides
 * @param instancesVersion version of the instance list that decides
 * @param upstreams upstreams of the route's service in all regions, with those that are leaving
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
     * What the node knows about one upstream.
     *
     * @param upstream upstream as the instance list describes it
     * @param load expected load as a share of its slots
     * @param linkState state of the link to it
     * @param unreachable whether it is avoided because its link failed
     */
    public record UpstreamState(
            Upstream upstream, double load, LinkState linkState, boolean unreachable) {}
}
