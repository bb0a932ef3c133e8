package org.foxtailmoor.node.data;

import org.foxtailmoor.protocol.generated.Load;

/** Home node of requests: runs them on the node's own target. */
interface Home {
    /**
     * Submits a request.
     *
     * @param request request; ownership of its body passes to this object
     * @param listener receives the outcome unless the request is cancelled; may be called before
     *     this method returns
     * @return handle to cancel the request
     */
    Cancellable submit(HomeCall request, OutcomeListener listener);

    /** Returns the current load of the target. */
    Load load();

    /** Returns whether new requests are refused because this node is leaving. */
    boolean isLeaving();

    /** Returns whether new requests are refused because only the target is leaving or gone. */
    boolean isTargetLeaving();
}
