package org.foxtailmoor.node.data;

/** Receives the outcome of a request to the target; called once, on the data loop. */
interface TargetListener {
    /**
     * Called immediately before the request is written to a newly opened connection.
     *
     * @return whether to send the request; if false, no other method is called
     */
    boolean confirmSend();

    /** Called when the request is written to a connection; a second time if the first was stale. */
    default void onSent() {}

    /** Called with the complete answer; ownership of its body passes to the listener. */
    void onAnswer(Outcome.Answer answer);

    /**
     * Called with a failure.
     *
     * @param failure failure; its kind implies "not run" only if no byte was sent to the target or
     *     the target reported that it did not run the request
     * @param crashed whether the target closed the connection while the request was in flight
     */
    void onFailure(Outcome.Failure failure, boolean crashed);
}
