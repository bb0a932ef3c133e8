package org.foxtailmoor.core.distribution;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.foxtailmoor.core.membership.Fleet;
import org.foxtailmoor.protocol.generated.Instance;

/**
 * Exchanges adverts with random peers, which repairs every lost message, and with other regions by
 * the region's gateways.
 */
final class ExchangeSystem {
    private static final double JITTER = 0.2;
    private static final double OWN_ZONE_SHARE = 0.75;
    // All nodes of a region together exchange with another region about once in this many
    // exchange intervals even if both of the region's gateways are dead but listed.
    private static final double INTERVALS_PER_REGION = 2;
    private static final int GATEWAY_INTERVALS = 2;
    private static final int DRAWS = 4;
    private static final int SILENT_AFTER_ASKS = 2;

    private final EngineContext mContext;
    private final DistributionState mState;
    private final AdvertWriter mAdverts;
    private long mNextNanoseconds;
    private long mNextGatewayNanoseconds;

    ExchangeSystem(EngineContext context, DistributionState state, AdvertWriter adverts) {
        mContext = context;
        mState = state;
        mAdverts = adverts;
        int interval = context.settings().exchangeMilliseconds();
        mNextNanoseconds = context.now() + context.jitterNanoseconds(interval);
        mNextGatewayNanoseconds =
                context.now() + context.jitterNanoseconds((long) GATEWAY_INTERVALS * interval);
    }

    void onTick() {
        long now = mContext.now();
        if (now - mNextNanoseconds >= 0) {
            mNextNanoseconds = now + interval(1);
            ask(choosePeer());
        }
        if (now - mNextGatewayNanoseconds >= 0) {
            mNextGatewayNanoseconds = now + interval(GATEWAY_INTERVALS);
            if (isGateway()) {
                ask(chooseGateway());
            }
        }
    }

    private void ask(String peerId) {
        if (peerId != null) {
            mAdverts.ask(peerId, DistributionState.TOPICS);
        }
    }

    private long interval(int intervals) {
        double factor = 1 - JITTER + 2 * JITTER * mContext.random().nextDouble();
        long mean =
                Milliseconds.toNanoseconds(
                        (long) intervals * mContext.settings().exchangeMilliseconds());
        return (long) (mean * factor);
    }

    private boolean isGateway() {
        return mState.topology()
                .gatewaysOf(mContext.self().getRegion())
                .contains(mContext.self().getId());
    }

    private String chooseGateway() {
        String region = chooseOtherRegion();
        return region == null ? null : draw(mState.topology().gatewaysOf(region));
    }

    private String choosePeer() {
        Fleet fleet = mState.fleet();
        Instance self = mContext.self();
        List<Instance> region = fleet.ofRegion(self.getRegion());
        double crossing = 1 / (INTERVALS_PER_REGION * Math.max(1, region.size()));
        String otherRegion = chooseOtherRegion();
        if (otherRegion != null && mContext.random().nextDouble() < crossing) {
            return draw(fleet.ofRegion(otherRegion), instance -> true);
        }
        String peer = null;
        if (mContext.random().nextDouble() < OWN_ZONE_SHARE) {
            peer = draw(fleet.ofZone(self.getZone()), instance -> true);
        }
        if (peer == null) {
            peer = draw(region, instance -> !instance.getZone().equals(self.getZone()));
        }
        if (peer == null) {
            peer = draw(fleet.ofZone(self.getZone()), instance -> true);
        }
        return peer == null ? draw(fleet.instances(), instance -> true) : peer;
    }

    private String chooseOtherRegion() {
        List<String> regions = new ArrayList<>(mState.fleet().regions());
        regions.remove(mContext.self().getRegion());
        return regions.isEmpty() ? null : regions.get(mContext.random().nextInt(regions.size()));
    }

    private String draw(List<Instance> instances, Predicate<Instance> filter) {
        return draw(instances.stream().filter(filter).map(Instance::getId).toList());
    }

    /** Returns a random peer, if possible one that is not known to be leaving or silent. */
    private String draw(List<String> ids) {
        List<String> others = new ArrayList<>(ids);
        others.remove(mContext.self().getId());
        if (others.isEmpty()) {
            return null;
        }
        String drawn = null;
        for (int draw = 0; draw < DRAWS; draw++) {
            drawn = others.get(mContext.random().nextInt(others.size()));
            Peer peer = mState.peers().find(drawn);
            boolean silent = peer != null && peer.unanswered() >= SILENT_AFTER_ASKS;
            if (peer == null || !silent && !peer.isLeaving()) {
                return drawn;
            }
        }
        return drawn;
    }
}
