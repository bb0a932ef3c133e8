package org.foxtailmoor.core.home;

import java.util.Collection;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.core.admission.AdmissionPolicy;
import org.foxtailmoor.core.admission.FleetLimits;
import org.foxtailmoor.core.routing.RoutingSnapshot;

/**
 * Joins the decisions at a home in the right order: key memory, fingerprint, limits, key
 * conditions, queue, and at the moment of dispatch the lease, key conditions and fingerprint again.
 * Belongs to the data loop.
 */
public final class HomeRequests {
    private HomeRequests() {}

    /** Creates the decisions of one home; no argument may be null. */
    public static HomeRequests of(
            AdmissionPolicy admission,
            FleetLimits limits,
            KeyLedger ledger,
            HomeTerms terms,
            CrashGuard guard) {
        throw new UnsupportedOperationException();
    }

    /** Takes the routing snapshot in force; must be called before the first request. */
    public void update(RoutingSnapshot snapshot) {
        throw new UnsupportedOperationException();
    }

    /** Takes a request whose body is whole. */
    public void accept(HomeRequest request) {
        throw new UnsupportedOperationException();
    }

    /**
     * Records the whole answer of the target to a dispatched request. The caller answers the
     * request itself; requests that joined it are answered here.
     */
    public void completed(HomeRequest request, StoredAnswer answer) {
        throw new UnsupportedOperationException();
    }

    /**
     * Records that a dispatched request ended without a whole answer, such as after its deadline or
     * a cut answer. Its key is kept with an unknown outcome.
     *
     * @param request dispatched request, not null
     * @param kind kind that does not say "not run", not null
     * @return the kind to answer: OUTCOME_UNKNOWN for non-idempotent work whose target failed
     */
    public ErrorKind failed(HomeRequest request, ErrorKind kind) {
        throw new UnsupportedOperationException();
    }

    /**
     * Counts a crash for the requests that were in flight on target connections that died, and ends
     * them like {@link #failed}.
     */
    public void crashed(Collection<? extends HomeRequest> requests) {
        throw new UnsupportedOperationException();
    }

    /**
     * Ends the interest of a caller in its request.
     *
     * @return true if the request was waiting and has not run; false if it was dispatched (the node
     *     passes the cancellation to the target and later calls {@link #failed}) or has ended
     */
    public boolean cancel(HomeRequest request) {
        throw new UnsupportedOperationException();
    }

    /** Refuses new work as LEAVING from now on. */
    public void leave() {
        throw new UnsupportedOperationException();
    }

    /** Returns whether no request runs or waits. */
    public boolean isIdle() {
        throw new UnsupportedOperationException();
    }

    /** Runs the systems over the queues, keys, terms and fingerprints. */
    public void tick() {
        throw new UnsupportedOperationException();
    }
}
