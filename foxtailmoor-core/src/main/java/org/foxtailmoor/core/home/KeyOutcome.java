package org.foxtailmoor.core.home;

/** Outcome of an idempotency key at its home. */
public enum KeyOutcome {
    /** The home does not know the key. */
    NEW,
    /** A request with the key waits or runs; repeats join it. */
    RUNNING,
    /** The request has run and its answer is held. */
    DONE,
    /** The request has run and its answer is not held. */
    DONE_WITHOUT_ANSWER,
    /** The request was dispatched and its result is not known. */
    UNKNOWN,
    /** The key was used with another method, path or body. */
    OTHER_REQUEST
}
