package org.foxtailmoor.node.data;

/** Receives the outcome of a request; called once, on the data loop. */
@FunctionalInterface
public interface OutcomeListener {
    /**
     * Called with the outcome.
     *
     * @param outcome outcome; ownership of its body passes to the listener
     */
    void onOutcome(Outcome outcome);
}
