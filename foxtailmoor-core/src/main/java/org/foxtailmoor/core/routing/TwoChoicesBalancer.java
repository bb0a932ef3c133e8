package org.foxtailmoor.core.routing;

import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.random.RandomGenerator;

/**
 * Selects the less loaded of two random upstreams, first in the entry's zone, then in its region,
 * then in the region's fallback regions in order. A wider scope is used only if the narrower one
 * has no candidate below 0.9 of its slots. If no scope has one, the narrowest scope with a
 * candidate is used, and its home refuses or queues; if every candidate failed recently, those are
 * used. Belongs to the data loop.
 */
public final class TwoChoicesBalancer implements Balancer {
    /** Load from which an upstream does not count as a candidate of its scope. */
    public static final double FULL_LOAD = 0.9;

    private static final int PROBES = 6;

    private enum Filter {
        BELOW_FULL,
        NOT_FAILED,
        NOT_LEAVING
    }

    private static final Filter[] FILTERS = Filter.values();

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
            RoutingSnapshot snapshot,
            ServiceView service,
            Collection<String> excluded,
            long bodyBytes,
            long limitNanoseconds) {
        for (Filter filter : FILTERS) {
            Upstream chosen = chooseByScope(snapshot, service, excluded, filter);
            if (chosen != null) {
                return chosen;
            }
        }
        return null;
    }

    private Upstream chooseByScope(
            RoutingSnapshot snapshot,
            ServiceView service,
            Collection<String> excluded,
            Filter filter) {
        Upstream chosen = chooseFrom(service.inZone(mZone), excluded, filter);
        if (chosen == null) {
            chosen = chooseFrom(service.inRegion(mRegion), excluded, filter);
        }
        List<String> fallbacks = snapshot.fallbackRegions(mRegion);
        for (int i = 0; chosen == null && i < fallbacks.size(); i++) {
            chosen = chooseFrom(service.inRegion(fallbacks.get(i)), excluded, filter);
        }
        return chosen;
    }

    private Upstream chooseFrom(List<Upstream> scope, Collection<String> excluded, Filter filter) {
        if (scope.isEmpty()) {
            return null;
        }
        Upstream first = null;
        for (int probe = 0; probe < PROBES; probe++) {
            Upstream candidate = scope.get(mRandom.nextInt(scope.size()));
            if (candidate == first || !isCandidate(candidate, excluded, filter)) {
                continue;
            }
            if (first != null) {
                return lessLoaded(first, candidate);
            }
            first = candidate;
        }
        return scan(scope, excluded, filter);
    }

    /** Chooses among all candidates of a scope, for scopes where random probes find too few. */
    private Upstream scan(List<Upstream> scope, Collection<String> excluded, Filter filter) {
        Upstream first = null;
        Upstream second = null;
        int seen = 0;
        for (Upstream candidate : scope) {
            if (!isCandidate(candidate, excluded, filter)) {
                continue;
            }
            seen++;
            int place = mRandom.nextInt(seen);
            if (seen == 1) {
                first = candidate;
            } else if (seen == 2) {
                second = candidate;
            } else if (place == 0) {
                first = candidate;
            } else if (place == 1) {
                second = candidate;
            }
        }
        return second == null ? first : lessLoaded(first, second);
    }

    private boolean isCandidate(Upstream upstream, Collection<String> excluded, Filter filter) {
        UpstreamRow row = mTable.row(upstream.id());
        if (row == null || row.mLeaving || excluded.contains(upstream.id())) {
            return false;
        }
        switch (filter) {
            case BELOW_FULL:
                return !row.mAvoided && row.load() < FULL_LOAD;
            case NOT_FAILED:
                return !row.mAvoided;
            default:
                return true;
        }
    }

    private Upstream lessLoaded(Upstream first, Upstream second) {
        double firstLoad = mTable.row(first.id()).comparedLoad();
        double secondLoad = mTable.row(second.id()).comparedLoad();
        return secondLoad < firstLoad ? second : first;
    }
}
