package org.foxtailmoor.core.routing;

/** Periodic update of the upstream table rows of one service. */
interface UpstreamSystem {
    /** Updates the rows of a service at a ticker time. */
    void run(ServiceRows service, long nowNanoseconds);
}
