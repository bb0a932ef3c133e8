package org.foxtailmoor.node.data;

/** An operation that can be cancelled. */
@FunctionalInterface
public interface Cancellable {
    /** Does nothing; for an operation that has ended or cannot be cancelled. */
    Cancellable NONE = () -> {};

    /**
     * Cancels the operation, after which its listener is not called. Does nothing if the operation
     * has ended.
     */
    void cancel();

    /**
     * Returns whether the request has not been sent completely, so that it cannot run once it is
     * cancelled.
     */
    default boolean isUnsent() {
        return false;
    }
}
