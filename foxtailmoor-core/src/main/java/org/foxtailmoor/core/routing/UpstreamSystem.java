package org.foxtailmoor.core.routing;

/** Runs over the upstreams of one service on each tick. */
interface UpstreamSystem {
    /** Updates the rows of a service at a ticker time. */
    void run(ServiceRows service, long nowNanoseconds);
}
