package org.foxtailmoor.core.distribution;

import java.util.List;
import java.util.function.Predicate;
import org.foxtailmoor.core.membership.Fleet;
import org.foxtailmoor.protocol.generated.Instance;

/**
 * Periodically exchanges adverts with random peers, which makes up for lost messages. Gateway nodes
 * also exchange adverts with other regions.
 */
final class PeerExchange {
    private static final double INTERVAL_JITTER = 0.2;
    private static final double OWN_ZONE_PROBABILITY = 0.75;
    // Number of exchange intervals in which the nodes of a region together start about one exchange
    // with another region. This keeps regions connected while both gateways of the region are dead
    // but still listed.
    private static final double INTERVALS_PER_CROSS_REGION_EXCHANGE = 2;
    private static final int GATEWAY_INTERVALS = 2;
    private static final int MAX_DRAWS = 16;

    private final EngineContext mContext;
    private final DistributionState mState;
    private final AdvertSender mAdvertSender;
    private long mNextExchangeNanoseconds;
    private long mNextGatewayExchangeNanoseconds;

    PeerExchange(EngineContext context, DistributionState state, AdvertSender adverts) {
        mContext = context;
        mState = state;
        mAdvertSender = adverts;
        int interval = context.settings().exchangeMilliseconds();
        mNextExchangeNanoseconds = context.now() + context.jitterNanoseconds(interval);
        mNextGatewayExchangeNanoseconds =
                context.now() + context.jitterNanoseconds((long) GATEWAY_INTERVALS * interval);
    }

    void onTick() {
        long now = mContext.now();
        if (now - mNextExchangeNanoseconds >= 0) {
            mNextExchangeNanoseconds = now + randomInterval(1);
            closeUnresponsive(now);
            startExchange(choosePeer());
        }
        if (now - mNextGatewayExchangeNanoseconds >= 0) {
            mNextGatewayExchangeNanoseconds = now + randomInterval(GATEWAY_INTERVALS);
            if (isGateway()) {
                startExchange(chooseGateway());
            }
        }
    }

    /** Closes unresponsive connections; the next message to the peer opens a new one. */
    private void closeUnresponsive(long now) {
        for (Peer peer : mState.peers().list()) {
            if (peer.isUnresponsive(now)) {
                mContext.outbox().close(peer.id());
                peer.excludeFromExchange(now);
            }
        }
    }

    private void startExchange(String peerId) {
        if (peerId != null) {
            mAdvertSender.sendRequest(peerId, DistributionState.TOPICS);
        }
    }

    private long randomInterval(int intervals) {
        double factor = 1 - INTERVAL_JITTER + 2 * INTERVAL_JITTER * mContext.random().nextDouble();
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
        return region == null ? null : pickRandom(mState.topology().gatewaysOf(region), id -> true);
    }

    private String choosePeer() {
        Fleet fleet = mState.fleet();
        Instance self = mContext.self();
        List<String> region = fleet.idsOfRegion(self.getRegion());
        List<String> zone = fleet.idsOfZone(self.getZone());
        double crossRegionProbability =
                1 / (INTERVALS_PER_CROSS_REGION_EXCHANGE * Math.max(1, region.size()));
        String otherRegion = chooseOtherRegion();
        if (otherRegion != null && mContext.random().nextDouble() < crossRegionProbability) {
            return pickRandom(fleet.idsOfRegion(otherRegion), id -> true);
        }
        String peer = null;
        if (mContext.random().nextDouble() < OWN_ZONE_PROBABILITY) {
            peer = pickRandom(zone, id -> true);
        }
        if (peer == null && region.size() > zone.size()) {
            peer = pickRandom(region, id -> !isInOwnZone(id));
        }
        if (peer == null) {
            peer = pickRandom(zone, id -> true);
        }
        return peer == null && otherRegion != null
                ? pickRandom(fleet.idsOfRegion(otherRegion), id -> true)
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
     * Returns a random peer that passes a filter. Prefers peers that are neither leaving nor
     * unresponsive; returns null if no draw passes the filter.
     */
    private String pickRandom(List<String> ids, Predicate<String> filter) {
        String excludedCandidate = null;
        for (int draws = 0; draws < MAX_DRAWS && !ids.isEmpty(); draws++) {
            String candidate = ids.get(mContext.random().nextInt(ids.size()));
            if (candidate.equals(mContext.self().getId()) || !filter.test(candidate)) {
                continue;
            }
            excludedCandidate = candidate;
            Peer peer = mState.peers().find(candidate);
            if (peer == null || !peer.isExcludedFromExchange(mContext.now())) {
                return candidate;
            }
        }
        return excludedCandidate;
    }
}
