package org.foxtailmoor.core.home;

import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.core.routing.IdempotencyKey;
import org.foxtailmoor.core.routing.Route;

/**
 * A request at its home, implemented by the node. Exactly one of {@link #answer}, {@link #refuse}
 * and a completion after {@link #dispatch} ends it, unless it was cancelled.
 */
public interface HomeRequest {
    /** Returns the route, never null. */
    Route route();

    /** Returns the idempotency key, or null if the request has none. */
    IdempotencyKey key();

    /** Returns the fingerprint, never null. */
    Fingerprint fingerprint();

    /** Returns the ticker time at which the deadline passes. */
    long deadlineNanoseconds();

    /**
     * Sends the request to the target now, in the same call, so that the checks made at the moment
     * of dispatch still hold. Afterwards the node calls {@link HomeRequests#completed}, {@link
     * HomeRequests#failed} or {@link HomeRequests#crashed}.
     */
    void dispatch();

    /**
     * Answers the request from the home's memory or with the answer of the request that it joined.
     */
    void answer(StoredAnswer answer);

    /**
     * Answers the request with an error.
     *
     * @param kind kind of the error, not null
     * @param retryAfterMilliseconds time to state, 0 if not stated
     */
    void refuse(ErrorKind kind, int retryAfterMilliseconds);
}
