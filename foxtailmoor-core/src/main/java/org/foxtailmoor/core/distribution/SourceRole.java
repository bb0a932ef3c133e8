package org.foxtailmoor.core.distribution;

/** How a node currently uses the configuration service for one topic. */
public enum SourceRole {
    /** The node is a reader: it holds a watch and reopens it when it ends. */
    WATCH,
    /** The node may read once now. Each returned value permits a single read. */
    POLL,
    /** The node does not read. */
    NONE
}
