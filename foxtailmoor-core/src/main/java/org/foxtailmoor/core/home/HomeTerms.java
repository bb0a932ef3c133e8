package org.foxtailmoor.core.home;

import java.util.function.Supplier;
import org.foxtailmoor.core.routing.EpochClock;

/**
 * Decides whether this home may run a key that it does not know, from its history of views and its
 * view lease. Belongs to the data loop.
 */
public final class HomeTerms {
    private HomeTerms() {}

    /**
     * Creates the terms of one home that has no view yet. The process counts as ready from now.
     *
     * @param clock clock, not null
     * @param instanceId id of this instance, not null
     * @param lease gives the view lease now, or null without one; read at each decision; not null
     */
    public static HomeTerms of(EpochClock clock, String instanceId, Supplier<ViewLease> lease) {
        return new HomeTerms();
    }
}
