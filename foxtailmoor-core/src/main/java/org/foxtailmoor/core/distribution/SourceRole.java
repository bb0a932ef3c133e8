package org.foxtailmoor.core.distribution;

/** States how a node uses the configuration service for one topic at the moment. */
public enum SourceRole {
    /** The node is a reader: it holds a watch, and opens a new one when the watch ends. */
    WATCH,
    /** The node may read once now. The permission is used up by the answer. */
    POLL,
    /** The node does not read. */
    NONE
}
