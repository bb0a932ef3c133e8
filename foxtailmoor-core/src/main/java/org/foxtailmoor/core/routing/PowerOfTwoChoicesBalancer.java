package org.foxtailmoor.core.routing;

import java.util.List;
import java.util.Objects;
import java.util.random.RandomGenerator;

/**
 * Selects the less loaded of two random upstreams (power of two choices), first in the zone of the
 * entry node, then in its region, then in the region's fallback regions in order. A wider scope is
 * used only if the narrower one has no candidate with a load below 0.9. If no scope has one, the
 * narrowest scope with a candidate is used, whose node queues or refuses the request. Ejected
 * upstreams are used only if there is no other candidate. Confined to the data loop.
 */
public final class PowerOfTwoChoicesBalancer implements Balancer {
    /** Load at or above which an upstream counts as full. */
    public static final double FULL_LOAD = 0.9;

    private static final int MAX_RANDOM_PROBES = 6;

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

    private PowerOfTwoChoicesBalancer(
            UpstreamTable table, RandomGenerator random, String region, String zone) {
        mTable = Objects.requireNonNull(table, "table");
        mRandom = Objects.requireNonNull(random, "random");
        mRegion = Objects.requireNonNull(region, "region");
        mZone = Objects.requireNonNull(zone, "zone");
    }

    /**
     * Creates a balancer; no argument may be null.
     *
     * @param table state of the upstreams
     * @param random random generator
     * @param region region of the entry node
     * @param zone zone of the entry node
     */
    public static PowerOfTwoChoicesBalancer of(
            UpstreamTable table, RandomGenerator random, String region, String zone) {
        return new PowerOfTwoChoicesBalancer(table, random, region, zone);
    }

    @Override
    public Upstream choose(PlacementQuery query) {
        for (Filter filter : FILTERS) {
            Upstream chosen = chooseByScope(query, filter);
            if (chosen != null) {
                return chosen;
            }
        }
        return null;
    }

    private Upstream chooseByScope(PlacementQuery query, Filter filter) {
        ServiceView service = query.service();
        Upstream chosen = chooseFrom(service.inZone(mZone), query, filter);
        if (chosen == null) {
            chosen = chooseFrom(service.inRegion(mRegion), query, filter);
        }
        List<String> fallbacks = query.snapshot().fallbackRegions(mRegion);
        for (int i = 0; chosen == null && i < fallbacks.size(); i++) {
            chosen = chooseFrom(service.inRegion(fallbacks.get(i)), query, filter);
        }
        return chosen;
    }

    private Upstream chooseFrom(List<Upstream> scope, PlacementQuery query, Filter filter) {
        if (scope.isEmpty()) {
            return null;
        }
        Upstream first = null;
        for (int probe = 0; probe < MAX_RANDOM_PROBES; probe++) {
            Upstream candidate = scope.get(mRandom.nextInt(scope.size()));
            if (candidate == first || !isCandidate(candidate, query, filter)) {
                continue;
            }
            if (first != null) {
                return lessLoaded(first, candidate);
            }
            first = candidate;
        }
        return sampleAll(scope, query, filter);
    }

    /**
     * Selects between two candidates drawn by reservoir sampling from the whole scope. Used when
     * random probes find fewer than two candidates.
     */
    private Upstream sampleAll(List<Upstream> scope, PlacementQuery query, Filter filter) {
        Upstream first = null;
        Upstream second = null;
        int seen = 0;
        for (Upstream candidate : scope) {
            if (!isCandidate(candidate, query, filter)) {
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

    private boolean isCandidate(Upstream upstream, PlacementQuery query, Filter filter) {
        UpstreamRow row = mTable.row(upstream.id());
        if (row == null || row.mLeaving || !query.permits(upstream)) {
            return false;
        }
        if (row.isTargetDown(mTable.nanoTime())) {
            return false;
        }
        switch (filter) {
            case BELOW_FULL:
                return !row.mEjected && row.load() < FULL_LOAD;
            case NOT_FAILED:
                return !row.mEjected;
            default:
                return true;
        }
    }

    private Upstream lessLoaded(Upstream first, Upstream second) {
        double firstLoad = mTable.row(first.id()).effectiveLoad();
        double secondLoad = mTable.row(second.id()).effectiveLoad();
        return secondLoad < firstLoad ? second : first;
    }
}
