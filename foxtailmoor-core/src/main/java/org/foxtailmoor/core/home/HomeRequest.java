package org.foxtailmoor.core.home;

import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.core.routing.IdempotencyKey;
import org.foxtailmoor.core.routing.Route;

/**
 * A request at its home, implemented by the node. Exactly one of {@link #answer}, {@link #refuse},
 * {@link HomeRequests#completed} and a cancellation that returns NOT_RUN ends it.
 */
public interface HomeRequest {
    /** Returns the route, never null; constant. */
    Route route();

    /** Returns the idempotency key, or null if the request has none; constant. */
    IdempotencyKey key();

    /** Returns the fingerprint, never null; constant. */
    Fingerprint fingerprint();

    /** Returns the ticker time at which the deadline passes; constant. */
    long deadlineNanoseconds();

    /** Returns the name of the kind of request, such as its route; kinds differ in their times. */
    default String kind() {
        return "";
    }

    /** Returns the rank among waiting requests, 0 goes first; constant. */
    default int priority() {
        return 0;
    }

    /** Returns the ticker time until which an answer is on time, at most the deadline; constant. */
    default long objectiveNanoseconds() {
        return deadlineNanoseconds();
    }

    /**
     * Sends the request to the target now, in the same call, so that the checks made at the moment
     * of dispatch still hold. A node that must open a connection first calls {@link
     * HomeRequests#confirmDispatch} immediately before it writes. Afterwards the node calls {@link
     * HomeRequests#completed}, {@link HomeRequests#failed}, {@link HomeRequests#crashed} or {@link
     * HomeRequests#notSent}.
     */
    void dispatch();

    /**
     * Answers the request from the home's memory or with the answer of the request that it joined.
     *
     * @param answer answer, not null
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
