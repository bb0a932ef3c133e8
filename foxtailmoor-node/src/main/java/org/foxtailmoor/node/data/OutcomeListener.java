package org.foxtailmoor.node.data;

/** Is told once, on the data loop, how a request ended. */
@FunctionalInterface
public interface OutcomeListener {
    /**
     * Takes the outcome.
     *
     * @param outcome outcome; the listener owns its body
     */
    void onOutcome(Outcome outcome);
}
