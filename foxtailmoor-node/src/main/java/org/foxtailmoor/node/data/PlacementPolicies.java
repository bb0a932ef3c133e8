package org.foxtailmoor.node.data;

import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.foxtailmoor.core.admission.AdaptiveConcurrency;
import org.foxtailmoor.core.admission.AdmissionPolicy;
import org.foxtailmoor.core.admission.ColdStartPacer;
import org.foxtailmoor.core.admission.ConcurrencyLimit;
import org.foxtailmoor.core.admission.DeadlineAdmission;
import org.foxtailmoor.core.admission.MeasuredSlots;
import org.foxtailmoor.core.admission.TargetBodies;
import org.foxtailmoor.core.admission.TargetLimits;
import org.foxtailmoor.core.home.HomeDecisions;
import org.foxtailmoor.core.home.SlotRequests;
import org.foxtailmoor.core.home.TargetHealth;
import org.foxtailmoor.core.routing.ExpectedWaitBalancer;
import org.foxtailmoor.core.routing.PlacementDecisions;
import org.foxtailmoor.core.routing.RequestDecisions;
import org.foxtailmoor.core.routing.SharedRetryBudget;
import org.foxtailmoor.core.routing.TrafficSplitter;
import org.foxtailmoor.node.NodeSettings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Policies for deployments without idempotency keys; based on deadline, load and locality. */
public final class PlacementPolicies implements DataPolicies {
    private static final Logger LOGGER = LoggerFactory.getLogger(PlacementPolicies.class);

    /** Slots until the instance list contains the node's target. */
    private static final int INITIAL_SLOTS = 4;

    /**
     * A restarting node serves its callers for another two seconds, in which its healthy target
     * would otherwise be idle. The remaining time is for the requests that are running then.
     */
    private static final long TARGET_DRAIN_DELAY_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(1_500);

    private final HeaderNames mHeaders;
    private final Supplier<String> mCallerService;
    private final double mRetryRatio;
    private final double mExtraRetriesPerWindow;
    private final double mColdOverage;
    private final boolean mLearnsConcurrency;

    /**
     * Creates the policies; cold targets get requests at most at the rate of their service.
     *
     * @param headers names of the headers, not null
     * @param callerService supplies the current service of the instance, not null
     * @param retryRatio retries per request that the fleet may send to the targets of one service
     * @param extraRetriesPerWindow retries that the fleet may send in addition in each budget
     *     window
     */
    public PlacementPolicies(
            HeaderNames headers,
            Supplier<String> callerService,
            double retryRatio,
            double extraRetriesPerWindow) {
        this(headers, callerService, retryRatio, extraRetriesPerWindow, 1, false);
    }

    /**
     * Creates the policies.
     *
     * @param headers names of the headers, not null
     * @param callerService supplies the current service of the instance, not null
     * @param retryRatio retries per request that the fleet may send to the targets of one service
     * @param extraRetriesPerWindow retries that the fleet may send in addition in each budget
     *     window
     * @param coldOverage factor by which the requests to a cold target may exceed the rate of its
     *     service
     * @param learnsConcurrency whether the home learns how many requests its target runs well at
     *     once; otherwise it uses all slots
     */
    public PlacementPolicies(
            HeaderNames headers,
            Supplier<String> callerService,
            double retryRatio,
            double extraRetriesPerWindow,
            double coldOverage,
            boolean learnsConcurrency) {
        mHeaders = Objects.requireNonNull(headers, "headers");
        mCallerService = Objects.requireNonNull(callerService, "callerService");
        mRetryRatio = retryRatio;
        mExtraRetriesPerWindow = extraRetriesPerWindow;
        mColdOverage = coldOverage;
        mLearnsConcurrency = learnsConcurrency;
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
    public long targetDrainDelayNanoseconds() {
        return TARGET_DRAIN_DELAY_NANOSECONDS;
    }

    @Override
    public boolean exchangesCrashes() {
        return true;
    }

    @Override
    public RequestDecisions newRequestDecisions(Context context) {
        return PlacementDecisions.of(
                context.ticker(),
                context.upstreams(),
                ExpectedWaitBalancer.of(
                        context.upstreams(),
                        context.random(),
                        context.node().region(),
                        context.node().zone()),
                new TrafficSplitter(context.random()),
                SharedRetryBudget.of(context.ticker(), mRetryRatio, mExtraRetriesPerWindow));
    }

    @Override
    public AdmissionPolicy newAdmissionPolicy(Context context) {
        TargetLimits limits =
                TargetLimits.builder(context.ticker())
                        .setConcurrency(newConcurrencyLimit(context))
                        .setPacer(ColdStartPacer.of(context.ticker(), mColdOverage))
                        .setCallLimits(context.callLimits())
                        .setBodies(TargetBodies.of(context.node().targetBodyBytes()))
                        .build();
        return DeadlineAdmission.of(context.ticker(), INITIAL_SLOTS, limits);
    }

    private ConcurrencyLimit newConcurrencyLimit(Context context) {
        if (!mLearnsConcurrency) {
            return MeasuredSlots.of(context.ticker());
        }
        return AdaptiveConcurrency.of(
                context.ticker(),
                (before, after) ->
                        LOGGER.info(
                                "the target's concurrency limit changed from {} to {}",
                                before,
                                after));
    }

    @Override
    public HomeDecisions newHomeDecisions(Context context, AdmissionPolicy admission) {
        DeadlineAdmission deadlineAdmission = (DeadlineAdmission) admission;
        ColdStartPacer pacer = (ColdStartPacer) deadlineAdmission.pacer();
        return SlotRequests.of(
                context.ticker(),
                deadlineAdmission,
                context.crashes(),
                TargetHealth.of(context.ticker(), pacer),
                context.node().address(),
                context.node().nodePort());
    }
}
