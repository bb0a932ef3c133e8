package org.foxtailmoor.core.routing;

import java.util.Collection;
import java.util.Set;

/**
 * Places in which a request may run. Binds every choice of an upstream: the first attempt, retries
 * and fallbacks.
 *
 * @param allowedRegions regions that may run the request, empty for all
 * @param evacuatedZones availability zones whose upstreams get no requests
 */
public record PlaceConstraints(Set<String> allowedRegions, Set<String> evacuatedZones) {
    /** Permits all upstreams. */
    public static final PlaceConstraints NONE = new PlaceConstraints(Set.of(), Set.of());

    /** Copies the sets. */
    public PlaceConstraints {
        allowedRegions = Set.copyOf(allowedRegions);
        evacuatedZones = Set.copyOf(evacuatedZones);
    }

    /**
     * Returns the constraints of a request.
     *
     * @param route route of the request, not null
     * @param snapshot snapshot in force, not null
     */
    public static PlaceConstraints of(Route route, RoutingSnapshot snapshot) {
        Collection<String> regions = route.entry().getAllowedRegionsList();
        if (regions.isEmpty() && snapshot.evacuatedZones().isEmpty()) {
            return NONE;
        }
        return new PlaceConstraints(Set.copyOf(regions), snapshot.evacuatedZones());
    }

    /** Returns whether the request may run on an upstream. */
    public boolean permits(Upstream upstream) {
        return permitsRegion(upstream.region()) && !evacuatedZones.contains(upstream.zone());
    }

    /** Returns whether the request may run in a region. */
    public boolean permitsRegion(String region) {
        return allowedRegions.isEmpty() || allowedRegions.contains(region);
    }
}
