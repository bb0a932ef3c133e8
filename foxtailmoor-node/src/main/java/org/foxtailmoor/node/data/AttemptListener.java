package org.foxtailmoor.node.data;

/** Receives the outcome of one attempt at an upstream; called once, on the data loop. */
interface AttemptListener extends OutcomeListener {
    /**
     * Called instead of {@link #onOutcome} if the link closed before the complete answer arrived.
     *
     * @param fullySent whether the whole request had been written to the link; if not, the upstream
     *     cannot have run it
     */
    void onLinkLost(boolean fullySent);
}
