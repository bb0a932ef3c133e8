package org.foxtailmoor.node.data;

import org.foxtailmoor.core.admission.AdmissionController;
import org.foxtailmoor.core.admission.AdmissionPolicy;
import org.foxtailmoor.core.admission.FleetLimits;
import org.foxtailmoor.core.home.HomeDecisions;
import org.foxtailmoor.core.home.HomeRequests;
import org.foxtailmoor.core.home.HomeTerms;
import org.foxtailmoor.core.home.IdempotencyKeyStore;
import org.foxtailmoor.core.routing.BudgetedRetryPolicy;
import org.foxtailmoor.core.routing.EntryDecisions;
import org.foxtailmoor.core.routing.PowerOfTwoChoicesBalancer;
import org.foxtailmoor.core.routing.RequestDecisions;
import org.foxtailmoor.node.NodeSettings;

/** Policies based on the product's own catalogue: classes, fleet limits and idempotency keys. */
public final class KeyedPolicies implements DataPolicies {
    /** Slots until the catalogue contains the service of the node. */
    private static final int INITIAL_SLOTS = 1;

    @Override
    public HeaderNames headers() {
        return HeaderNames.DEFAULT;
    }

    @Override
    public String callerService(NodeSettings.NodeSection node) {
        return node.service();
    }

    @Override
    public long targetDrainDelayNanoseconds() {
        return 0;
    }

    /** Crash counts are distributed in adverts. */
    @Override
    public boolean exchangesCrashes() {
        return false;
    }

    @Override
    public RequestDecisions newRequestDecisions(Context context) {
        return EntryDecisions.of(
                context.clock(),
                context.upstreams(),
                PowerOfTwoChoicesBalancer.of(
                        context.upstreams(),
                        context.random(),
                        context.node().region(),
                        context.node().zone()),
                BudgetedRetryPolicy.of(context.ticker(), context.random()));
    }

    @Override
    public AdmissionPolicy newAdmissionPolicy(Context context) {
        return AdmissionController.of(context.ticker(), INITIAL_SLOTS);
    }

    @Override
    public HomeDecisions newHomeDecisions(Context context, AdmissionPolicy admission) {
        return HomeRequests.of(
                context.ticker(),
                admission,
                FleetLimits.of(context.ticker()),
                IdempotencyKeyStore.of(context.ticker()),
                HomeTerms.of(context.clock(), context.node().id(), context.lease()),
                context.crashGuard());
    }
}
