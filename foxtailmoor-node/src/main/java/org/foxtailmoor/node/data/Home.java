package org.foxtailmoor.node.data;

import org.foxtailmoor.protocol.generated.Load;
import org.foxtailmoor.protocol.generated.RequestStart;

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

    /**
     * Called for a request that is not submitted because its deadline passed before it had arrived
     * completely.
     *
     * @param start request without its body
     * @param transitNanoseconds delay of its start frame above the shortest transit of its link
     */
    void onExpiredInTransit(RequestStart start, long transitNanoseconds);

    /** Returns the current load of the target. */
    Load load();

    /** Returns whether new requests are refused because this node is leaving. */
    boolean isLeaving();

    /** Returns whether new requests are refused because only the target is leaving or gone. */
    boolean isTargetLeaving();
}
