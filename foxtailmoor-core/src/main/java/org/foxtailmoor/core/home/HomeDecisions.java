package org.foxtailmoor.core.home;

import java.util.Collection;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.core.routing.RoutingSnapshot;
import org.foxtailmoor.protocol.generated.RequestStart;

/**
 * Decides about requests at their home: whether and when each one goes to the target, and what a
 * failure means for its caller. Belongs to the data loop.
 */
public interface HomeDecisions {
    /**
     * Takes the routing snapshot in force; must be called before the first request.
     *
     * @param snapshot snapshot, not null
     * @param serviceId id of the service of this node's target, not null
     */
    void update(RoutingSnapshot snapshot, String serviceId);

    /**
     * Returns why this home can't take a request, or null if it can.
     *
     * @param start what the entry sent, not null
     */
    ErrorKind obstacle(RequestStart start);

    /** Takes a request whose body is whole and that has no obstacle, not null. */
    void accept(HomeRequest request);

    /**
     * Checks the conditions of dispatch again, immediately before the node writes to a connection
     * that it had to open after {@link HomeRequest#dispatch}.
     *
     * @param request dispatched request of which no byte was sent, not null
     * @return whether the node must send the request now; if not, the request was refused here
     */
    boolean confirmDispatch(HomeRequest request);

    /**
     * Records the whole answer of the target to a dispatched request. The node answers the request
     * itself; requests that joined it are answered here.
     */
    void completed(HomeRequest request, StoredAnswer answer);

    /**
     * Refuses a dispatched request that ended without a whole answer, such as after its deadline or
     * a cut answer.
     *
     * @param request dispatched request, not null
     * @param kind kind that does not say "not run", not null
     */
    void failed(HomeRequest request, ErrorKind kind);

    /**
     * Refuses a dispatched request that the target has not run: no byte has reached it, or it
     * stated so.
     *
     * @param request dispatched request, not null
     * @param kind kind to state, not null
     */
    void notSent(HomeRequest request, ErrorKind kind);

    /**
     * Counts a crash for the requests that were in flight on target connections that died, and ends
     * them like {@link #failed} with UPSTREAM_FAILED.
     */
    void crashed(Collection<? extends HomeRequest> requests);

    /** Ends the interest of a caller in its request. */
    Cancellation cancel(HomeRequest request);

    /** Refuses new work as LEAVING from now on. */
    void leave();

    /** Returns whether no request runs or waits. */
    boolean isIdle();

    /** Runs the systems over the waiting requests. */
    void tick();
}
