package org.foxtailmoor.node.data;

/** Is told once, on the data loop, how a request to the target ended. */
interface TargetListener {
    /**
     * Is asked immediately before the first byte goes to a connection that had to be opened for the
     * request. After the answer false no other method is called.
     */
    boolean isStillAllowed();

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
