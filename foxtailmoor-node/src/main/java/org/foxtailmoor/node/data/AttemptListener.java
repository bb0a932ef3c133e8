package org.foxtailmoor.node.data;

/** Is told once, on the data loop, how an attempt at an upstream ended. */
interface AttemptListener extends OutcomeListener {
    /**
     * Is called instead of {@link #onOutcome} when the link ended before the answer.
     *
     * @param sent whether the whole request had been handed to the link; if not, the upstream can't
     *     have run it
     */
    void onLost(boolean sent);
}
