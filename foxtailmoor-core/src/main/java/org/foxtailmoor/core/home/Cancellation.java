package org.foxtailmoor.core.home;

/** Result of a caller's cancellation at the home. */
public enum Cancellation {
    /** The request was waiting, has not run and has ended. */
    NOT_RUN,
    /** The request was dispatched; the node cancels it at the target and reports its end. */
    CANCEL_AT_TARGET,
    /**
     * The request was dispatched with an idempotency key; it runs on, so that a repeat gets its
     * answer, and the node reports its end.
     */
    KEEP_RUNNING,
    /** The request has ended already, or had joined another one and is forgotten. */
    ENDED
}
