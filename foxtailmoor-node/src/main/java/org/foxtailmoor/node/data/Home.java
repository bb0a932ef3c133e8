package org.foxtailmoor.node.data;

import org.foxtailmoor.protocol.generated.Load;

/** Runs requests on the node's own target. */
interface Home {
    /**
     * Takes a request.
     *
     * @param request request; its body is owned by the home from now on
     * @param listener is told the outcome unless the request is cancelled; may be called at once
     * @return cancellation of the request
     */
    Cancellable submit(HomeCall request, OutcomeListener listener);

    /** Returns the load of the target now. */
    Load load();

    /** Returns whether new requests are refused because the upstream is leaving. */
    boolean isLeaving();
}
