package org.foxtailmoor.core.home;

import java.util.Collection;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.core.admission.TargetLoad;
import org.foxtailmoor.core.routing.RoutingSnapshot;
import org.foxtailmoor.protocol.generated.RequestStart;

/**
 * Decisions about requests at their home node: whether and when a request is dispatched to the
 * target, and which outcome a failure has for the caller. Not thread-safe; used only on the data
 * loop.
 */
public interface HomeDecisions {
    /**
     * Applies a new routing snapshot. Must be called before the first request. Queued requests are
     * refused if the list had the target and no longer has it.
     *
     * @param snapshot snapshot in force, not null
     * @param serviceId id of the service of this node's target, not null
     */
    void update(RoutingSnapshot snapshot, String serviceId);

    /**
     * Returns the reason to refuse a request before its body is read, or null to accept it.
     *
     * @param start request head sent by the entry node, not null
     */
    ErrorKind refusalReason(RequestStart start);

    /**
     * Accepts a request.
     *
     * @param request request with its complete body that {@link #refusalReason} did not refuse, not
     *     null
     */
    void accept(HomeRequest request);

    /**
     * Repeats the checks of dispatch. The node calls it immediately before it writes to a
     * connection that it had to open after {@link HomeRequest#dispatch}.
     *
     * @param request dispatched request of which no byte was sent, not null
     * @return whether the node must send the request now; if false, the request has been refused
     */
    boolean confirmDispatch(HomeRequest request);

    /**
     * Records the complete answer of the target to a dispatched request. The node answers the
     * request itself; this method answers the requests that joined it.
     */
    void completed(HomeRequest request, StoredAnswer answer);

    /**
     * Refuses a dispatched request that ended without a complete answer, for instance because its
     * deadline passed or the answer was truncated.
     *
     * @param request dispatched request, not null
     * @param kind error kind that does not report "not run", not null
     */
    void failed(HomeRequest request, ErrorKind kind);

    /**
     * Refuses a dispatched request that the target has not run, because no byte has reached the
     * target or because the target has said so.
     *
     * @param request dispatched request, not null
     * @param kind error kind to report, not null
     */
    void notRun(HomeRequest request, ErrorKind kind);

    /**
     * Counts a target crash for the requests whose target connections were lost, and ends them like
     * {@link #failed} with UPSTREAM_FAILED.
     */
    void crashed(Collection<? extends HomeRequest> requests);

    /** Records what the target says about its own load; a hint that may be wrong. */
    default void onTargetLoad(TargetLoad load) {}

    /**
     * Returns the state of the target by its health checks, or null if the node sends none.
     *
     * <p>The node sends a check when {@link TargetHealth#startCheckIfDue} returns its path.
     */
    default TargetHealth targetHealth() {
        return null;
    }

    /** Cancels a request on behalf of its caller. */
    Cancellation cancel(HomeRequest request);

    /** Refuses new requests as LEAVING from now on. */
    void leave();

    /**
     * Returns whether the target gets no new requests because the instance list marks it as leaving
     * or no longer has it.
     */
    boolean isTargetLeaving();

    /** Returns whether no request is running or queued. */
    boolean isIdle();

    /** Performs periodic tasks, such as refusing queued requests that have expired. */
    void tick();
}
