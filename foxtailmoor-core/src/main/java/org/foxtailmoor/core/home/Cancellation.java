package org.foxtailmoor.core.home;

/** Result of cancelling a request at its home. */
public enum Cancellation {
    /** The request was queued, has not run and has ended. */
    NOT_RUN,
    /** The request was dispatched. The node cancels it at the target and then reports its end. */
    CANCEL_AT_TARGET,
    /**
     * The request was dispatched with an idempotency key. It continues to run, so that a repeat can
     * get its answer, and the node reports its end.
     */
    KEEP_RUNNING,
    /** The request had already ended, or had joined another request and was detached from it. */
    ENDED
}
