package org.foxtailmoor.node.data;

import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.foxtailmoor.core.admission.AdmissionPolicy;
import org.foxtailmoor.core.admission.DeadlineAdmission;
import org.foxtailmoor.core.home.HomeDecisions;
import org.foxtailmoor.core.home.SlotRequests;
import org.foxtailmoor.core.routing.ExpectedWaitBalancer;
import org.foxtailmoor.core.routing.PlacementDecisions;
import org.foxtailmoor.core.routing.RequestDecisions;
import org.foxtailmoor.core.routing.SharedRetryBudget;
import org.foxtailmoor.core.routing.TrafficSplitter;
import org.foxtailmoor.node.NodeSettings;

/** Decisions for deployments without idempotency keys: by deadline, load and distance. */
public final class PlacementPolicies implements DataPolicies {
    /** Slots until the instance list names the node's target. */
    private static final int INITIAL_SLOTS = 4;

    /**
     * A node that restarts has to serve its callers for two seconds more; its target is sound and
     * would be idle meanwhile. The rest of the time is for the work that runs then.
     */
    private static final long TARGET_NOTICE_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(1_500);

    private final HeaderNames mHeaders;
    private final Supplier<String> mCallerService;
    private final double mRetryRatio;
    private final double mRetryAllowance;

    /**
     * Creates the policies.
     *
     * @param headers names of the headers, not null
     * @param callerService gives the service of the instance now, not null
     * @param retryRatio repeats per request that the fleet may send to the targets of one service
     * @param retryAllowance repeats that the fleet may send beside these in each budget window
     */
    public PlacementPolicies(
            HeaderNames headers,
            Supplier<String> callerService,
            double retryRatio,
            double retryAllowance) {
        mHeaders = Objects.requireNonNull(headers, "headers");
        mCallerService = Objects.requireNonNull(callerService, "callerService");
        mRetryRatio = retryRatio;
        mRetryAllowance = retryAllowance;
    }

    @Override
    public HeaderNames headers() {
        return mHeaders;
    }

    @Override
    public String callerService(NodeSettings.NodeSection node) {
        return mCallerService.get();
    }

    @Override
    public long targetNoticeNanoseconds() {
        return TARGET_NOTICE_NANOSECONDS;
    }

    @Override
    public RequestDecisions requests(Context context) {
        return PlacementDecisions.of(
                context.ticker(),
                context.upstreams(),
                ExpectedWaitBalancer.of(
                        context.upstreams(),
                        context.random(),
                        context.node().region(),
                        context.node().zone()),
                new TrafficSplitter(context.random()),
                SharedRetryBudget.of(context.ticker(), mRetryRatio, mRetryAllowance));
    }

    @Override
    public AdmissionPolicy admission(Context context) {
        return DeadlineAdmission.of(context.ticker(), INITIAL_SLOTS);
    }

    @Override
    public HomeDecisions home(Context context, AdmissionPolicy admission) {
        return SlotRequests.of(
                (DeadlineAdmission) admission, context.node().address(), context.node().nodePort());
    }
}
