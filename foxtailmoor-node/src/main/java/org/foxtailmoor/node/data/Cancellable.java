package org.foxtailmoor.node.data;

/** Work that can be given up. */
@FunctionalInterface
public interface Cancellable {
    /** Cancellation of work that has ended or can't be cancelled. */
    Cancellable NONE = () -> {};

    /**
     * Gives the work up. The listener of cancelled work is not called any more. Does nothing if the
     * work has ended.
     */
    void cancel();
}
