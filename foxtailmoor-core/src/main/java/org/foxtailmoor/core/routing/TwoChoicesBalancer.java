package org.foxtailmoor.core.routing;

import java.util.Collection;
import java.util.Objects;
import java.util.random.RandomGenerator;

/**
 * Selects the less loaded of two random upstreams, first in the entry's zone, then in its region,
 * then in the region's fallback regions in order. A wider scope is used only if the narrower one
 * has no candidate below 0.9 of its slots. Belongs to the data loop.
 */
public final class TwoChoicesBalancer implements Balancer {
    private final UpstreamTable mTable;
    private final RandomGenerator mRandom;
    private final String mRegion;
    private final String mZone;

    private TwoChoicesBalancer(
            UpstreamTable table, RandomGenerator random, String region, String zone) {
        mTable = Objects.requireNonNull(table, "table");
        mRandom = Objects.requireNonNull(random, "random");
        mRegion = Objects.requireNonNull(region, "region");
        mZone = Objects.requireNonNull(zone, "zone");
    }

    /**
     * Creates a balancer; no argument may be null.
     *
     * @param table what the entry knows about upstreams
     * @param random source of randomness
     * @param region region of the entry
     * @param zone zone of the entry
     */
    public static TwoChoicesBalancer of(
            UpstreamTable table, RandomGenerator random, String region, String zone) {
        return new TwoChoicesBalancer(table, random, region, zone);
    }

    @Override
    public Upstream choose(
            RoutingSnapshot snapshot, ServiceView service, Collection<String> excluded) {
        throw new UnsupportedOperationException();
    }
}
