package org.foxtailmoor.node.data;

/** Receives whether the target of this node accepts connections. */
interface TargetStateListener {
    /**
     * Called when the state changes, and after each probe of a target that is down.
     *
     * @param down whether the target accepts no connections
     * @param changed whether this is a change
     */
    void onTargetState(boolean down, boolean changed);
}
