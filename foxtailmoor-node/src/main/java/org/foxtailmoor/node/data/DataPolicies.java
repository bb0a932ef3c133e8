package org.foxtailmoor.node.data;

import io.netty.util.concurrent.Ticker;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.foxtailmoor.core.admission.AdmissionPolicy;
import org.foxtailmoor.core.distribution.ViewLease;
import org.foxtailmoor.core.home.CrashGuard;
import org.foxtailmoor.core.home.HomeDecisions;
import org.foxtailmoor.core.routing.EpochClock;
import org.foxtailmoor.core.routing.RequestDecisions;
import org.foxtailmoor.core.routing.UpstreamTable;
import org.foxtailmoor.node.NodeSettings;

/** Chooses the decisions about requests that a data side uses. */
public interface DataPolicies {
    /**
     * What the decisions may use; no component may be null.
     *
     * @param node identity and ports of the node
     * @param ticker clock
     * @param clock time of day
     * @param random source of randomness
     * @param upstreams what the entry knows about upstreams
     * @param guard crash counts of the own service
     * @param lease gives the view lease now, or null
     */
    record Context(
            NodeSettings.NodeSection node,
            Ticker ticker,
            EpochClock clock,
            RandomGenerator random,
            UpstreamTable upstreams,
            CrashGuard guard,
            Supplier<ViewLease> lease) {}

    /** Returns the names of the headers that the node sets and reads. */
    HeaderNames headers();

    /** Returns the service of the instance now, which the node states as the caller's. */
    String callerService(NodeSettings.NodeSection node);

    /** Returns the time after the start of a shutdown in which the target still gets work. */
    long targetNoticeNanoseconds();

    /** Creates the decisions about requests at their entry. */
    RequestDecisions requests(Context context);

    /** Creates the owner of the target's slots. */
    AdmissionPolicy admission(Context context);

    /**
     * Creates the decisions about requests at their home, when the node is ready.
     *
     * @param context what the decisions may use
     * @param admission what {@link #admission} returned
     */
    HomeDecisions home(Context context, AdmissionPolicy admission);
}
