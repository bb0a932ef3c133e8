package org.foxtailmoor.node.data;

import io.netty.util.concurrent.Ticker;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.foxtailmoor.core.admission.AdmissionPolicy;
import org.foxtailmoor.core.admission.CallFailureLimits;
import org.foxtailmoor.core.distribution.ViewLease;
import org.foxtailmoor.core.home.CrashGuard;
import org.foxtailmoor.core.home.CrashTable;
import org.foxtailmoor.core.home.HomeDecisions;
import org.foxtailmoor.core.routing.EpochClock;
import org.foxtailmoor.core.routing.RequestDecisions;
import org.foxtailmoor.core.routing.UpstreamTable;
import org.foxtailmoor.node.NodeSettings;

/** Factory for the routing, admission and execution policies of a data side. */
public interface DataPolicies {
    /**
     * Dependencies of the policies; no component may be null.
     *
     * @param node identity and ports of the node
     * @param ticker monotonic clock
     * @param clock wall clock
     * @param random source of randomness
     * @param upstreams load and link state of the upstreams
     * @param crashGuard crash counts of the node's own service, distributed in adverts
     * @param crashes crash counts of the node's own service, exchanged over links if {@link
     *     #exchangesCrashes}
     * @param callLimits limits kinds of request whose calls to other services fail
     * @param lease supplies the current view lease, or null
     */
    record Context(
            NodeSettings.NodeSection node,
            Ticker ticker,
            EpochClock clock,
            RandomGenerator random,
            UpstreamTable upstreams,
            CrashGuard crashGuard,
            CrashTable crashes,
            CallFailureLimits callLimits,
            Supplier<ViewLease> lease) {}

    /** Returns the names of the headers that the node sets and reads. */
    HeaderNames headers();

    /**
     * Returns the current service of the instance, which the node sends as the caller's service.
     */
    String callerService(NodeSettings.NodeSection node);

    /** Returns how long the target still gets requests after a shutdown has started. */
    long targetDrainDelayNanoseconds();

    /** Returns whether the nodes of a service exchange crash counts over their links. */
    boolean exchangesCrashes();

    /** Creates the policy for requests at their entry node. */
    RequestDecisions newRequestDecisions(Context context);

    /** Creates the admission policy, which manages the target's slots. */
    AdmissionPolicy newAdmissionPolicy(Context context);

    /**
     * Creates the policy for requests at their home node; called when the node becomes ready.
     *
     * @param context dependencies of the policy
     * @param admission policy returned by {@link #newAdmissionPolicy}
     */
    HomeDecisions newHomeDecisions(Context context, AdmissionPolicy admission);
}
