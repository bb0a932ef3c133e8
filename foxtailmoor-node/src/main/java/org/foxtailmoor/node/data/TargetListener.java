package org.foxtailmoor.node.data;

/** Is told once, on the data loop, how a request to the target ended. */
interface TargetListener {
    /** Takes the whole answer; the listener owns its body. */
    void onAnswer(Outcome.Answer answer);

    /**
     * Takes a failure.
     *
     * @param failure failure; its kind states not run only if no byte went to the target
     * @param crashed whether the target ended the connection while the request was in flight
     */
    void onFailure(Outcome.Failure failure, boolean crashed);
}
