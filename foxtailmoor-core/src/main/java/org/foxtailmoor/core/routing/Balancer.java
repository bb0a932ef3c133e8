package org.foxtailmoor.core.routing;

/** Selects the upstream of an attempt for requests without an idempotency key. */
public interface Balancer {
    /** A longer request body waits for the incoming link of its upstream. */
    int LONG_BODY_BYTES = 8_192;

    /**
     * Selects an upstream.
     *
     * @param query request and the places in which it may run, not null
     * @return the upstream, or null if none is eligible
     */
    Upstream choose(PlacementQuery query);
}
