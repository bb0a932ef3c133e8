package org.foxtailmoor.core.home;

/** Outcome of the request with an idempotency key, as known at its home. */
public enum KeyOutcome {
    /** The home has no record of the key. */
    NEW,
    /** A request with the key is queued or running; repeats join it. */
    RUNNING,
    /** The request has run and its answer is stored. */
    DONE,
    /** The request has run and its answer is not stored. */
    DONE_WITHOUT_ANSWER,
    /** The request may have run; its result is not known. */
    UNKNOWN,
    /** The key was used with a different method, path or body. */
    DIFFERENT_REQUEST
}
