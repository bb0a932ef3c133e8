package org.foxtailmoor.node.data;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.foxtailmoor.core.routing.RoutingSnapshot;
import org.foxtailmoor.core.routing.Upstream;
import org.foxtailmoor.core.routing.UpstreamTable;
import org.foxtailmoor.node.NodeSettings;
import org.foxtailmoor.protocol.generated.Load;

/** State of the node's own upstream as seen by its entry side, which no link reports to it. */
final class OwnUpstream {
    private final NodeSettings.NodeSection mNode;
    private final UpstreamTable mUpstreams;
    private RoutingSnapshot mSnapshot;

    OwnUpstream(NodeSettings.NodeSection node, UpstreamTable upstreams) {
        mNode = node;
        mUpstreams = upstreams;
    }

    void update(RoutingSnapshot snapshot) {
        mSnapshot = snapshot;
    }

    /** Returns whether an upstream is this node's own. */
    boolean matches(Upstream upstream) {
        boolean sameAddress =
                upstream.nodePort() == mNode.nodePort()
                        && upstream.address().equals(mNode.address());
        return sameAddress || upstream.id().equals(mNode.id());
    }

    void markLeaving() {
        ids().forEach(mUpstreams::markLeaving);
    }

    void reportTargetDown(boolean down) {
        ids().forEach(id -> mUpstreams.reportTargetDown(id, down));
    }

    void reportLoad(Load load) {
        ids().forEach(id -> mUpstreams.reportLoad(id, load));
    }

    /** Returns the ids under which the instance list may have the upstream. */
    private Set<String> ids() {
        Upstream listed =
                mSnapshot == null ? null : mSnapshot.upstreamAt(mNode.address(), mNode.nodePort());
        return listed == null
                ? Set.of(mNode.id())
                : new HashSet<>(List.of(mNode.id(), listed.id()));
    }
}
