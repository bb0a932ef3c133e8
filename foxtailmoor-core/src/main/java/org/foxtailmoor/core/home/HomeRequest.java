package org.foxtailmoor.core.home;

import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.core.routing.IdempotencyKey;
import org.foxtailmoor.core.routing.Route;

/**
 * A request at its home node, implemented by the node. It is ended by exactly one of {@link
 * #answer}, {@link #refuse}, {@link HomeDecisions#completed} and a cancellation with the result
 * NOT_RUN.
 */
public interface HomeRequest {
    /** Returns the route, never null. Must not change. */
    Route route();

    /** Returns the idempotency key, or null if the request has none. Must not change. */
    IdempotencyKey key();

    /**
     * Returns the fingerprint of the content, by which repeats with one idempotency key are
     * compared, never null. Must not change. Does not depend on the entry node, because a caller
     * may repeat a request at another one.
     */
    Fingerprint fingerprint();

    /**
     * Returns the fingerprint by which crashes are counted, never null. Must not change. Depends on
     * the caller, because a request of one caller may crash targets that answer the same request of
     * others.
     */
    Fingerprint crashFingerprint();

    /**
     * Returns the id of the target that the entry node chose, empty if every target may run the
     * request. Must not change.
     */
    default String instanceId() {
        return "";
    }

    /** Returns the deadline as a ticker time. Must not change. */
    long deadlineNanoseconds();

    /**
     * Returns the service of the instance at which the request entered, empty if unknown. Must not
     * change.
     */
    default String callerService() {
        return "";
    }

    /** Returns the kind of request, such as its route, by which service times are averaged. */
    default String kind() {
        return "";
    }

    /** Returns the priority among queued requests; lower values run first. Must not change. */
    default int priority() {
        return 0;
    }

    /**
     * Returns the latency objective as a ticker time: an answer after it is late. At most the
     * deadline. Must not change.
     */
    default long objectiveNanoseconds() {
        return deadlineNanoseconds();
    }

    /** Returns the length of the body in bytes. Must not change. */
    default int bodyBytes() {
        return 0;
    }

    /**
     * Sends the request to the target before returning, so that the checks made at dispatch still
     * hold. A node that has to open a connection first must call {@link
     * HomeDecisions#confirmDispatch} immediately before it writes. When the request ends, the node
     * calls {@link HomeDecisions#completed}, {@link HomeDecisions#failed}, {@link
     * HomeDecisions#crashed} or {@link HomeDecisions#notRun}.
     */
    void dispatch();

    /**
     * Aborts the dispatched request at the target. The node reports nothing more about it; the
     * caller of this method ends it.
     */
    default void abort() {}

    /**
     * Answers the request with a stored answer or with that of the request that it joined.
     *
     * @param answer answer, not null
     */
    void answer(StoredAnswer answer);

    /**
     * Answers the request with an error.
     *
     * @param kind error kind, not null
     * @param retryAfterMilliseconds delay after which a retry may succeed, 0 if unknown
     */
    void refuse(ErrorKind kind, int retryAfterMilliseconds);
}
