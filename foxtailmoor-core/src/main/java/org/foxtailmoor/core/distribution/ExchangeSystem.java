package org.foxtailmoor.core.distribution;

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
    private static final int DRAWS = 16;

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
            closeSilent(now);
            ask(choosePeer());
        }
        if (now - mNextGatewayNanoseconds >= 0) {
            mNextGatewayNanoseconds = now + interval(GATEWAY_INTERVALS);
            if (isGateway()) {
                ask(chooseGateway());
            }
        }
    }

    /** Closes connections that went silent; the next message to the peer opens a new one. */
    private void closeSilent(long now) {
        for (Peer peer : mState.peers().list()) {
            if (peer.isOverdue(now)) {
                mContext.outbox().close(peer.id());
                peer.avoid(now);
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
        return region == null ? null : draw(mState.topology().gatewaysOf(region), id -> true);
    }

    private String choosePeer() {
        Fleet fleet = mState.fleet();
        Instance self = mContext.self();
        List<String> region = fleet.idsOfRegion(self.getRegion());
        List<String> zone = fleet.idsOfZone(self.getZone());
        double crossing = 1 / (INTERVALS_PER_REGION * Math.max(1, region.size()));
        String otherRegion = chooseOtherRegion();
        if (otherRegion != null && mContext.random().nextDouble() < crossing) {
            return draw(fleet.idsOfRegion(otherRegion), id -> true);
        }
        String peer = null;
        if (mContext.random().nextDouble() < OWN_ZONE_SHARE) {
            peer = draw(zone, id -> true);
        }
        if (peer == null && region.size() > zone.size()) {
            peer = draw(region, id -> !isInOwnZone(id));
        }
        if (peer == null) {
            peer = draw(zone, id -> true);
        }
        return peer == null && otherRegion != null
                ? draw(fleet.idsOfRegion(otherRegion), id -> true)
                : peer;
    }

    private boolean isInOwnZone(String id) {
        return mState.fleet().find(id).getZone().equals(mContext.self().getZone());
    }

    private String chooseOtherRegion() {
        List<String> regions = mState.fleet().regions();
        String own = mContext.self().getRegion();
        int others = regions.size() - (regions.contains(own) ? 1 : 0);
        if (others <= 0) {
            return null;
        }
        int index = mContext.random().nextInt(others);
        int ownIndex = regions.indexOf(own);
        return regions.get(ownIndex >= 0 && index >= ownIndex ? index + 1 : index);
    }

    /**
     * Returns a random peer that passes a filter, if possible one that is not known to be leaving
     * or silent; null if some draws find none.
     */
    private String draw(List<String> ids, Predicate<String> filter) {
        String drawn = null;
        for (int draw = 0; draw < DRAWS && !ids.isEmpty(); draw++) {
            String candidate = ids.get(mContext.random().nextInt(ids.size()));
            if (candidate.equals(mContext.self().getId()) || !filter.test(candidate)) {
                continue;
            }
            drawn = candidate;
            Peer peer = mState.peers().find(candidate);
            if (peer == null || !peer.isAvoided(mContext.now())) {
                return candidate;
            }
        }
        return drawn;
    }
}
