package org.foxtailmoor.core.routing;

import java.util.Collection;

/** Selects the upstream for an attempt without idempotency key. */
public interface Balancer {
    /**
     * Selects an upstream.
     *
     * @param snapshot routing snapshot that the request uses, not null
     * @param service service of the request, not null
     * @param excluded ids of upstreams that already refused or failed the request, not null
     * @param bodyBytes length of the request's body, at least 0
     * @param limitNanoseconds longest time that the answer may be expected to take; a balancer that
     *     expects no times may ignore it
     * @return the upstream, or null if no upstream may be used within the limit
     */
    Upstream choose(
            RoutingSnapshot snapshot,
            ServiceView service,
            Collection<String> excluded,
            long bodyBytes,
            long limitNanoseconds);
}
