package org.foxtailmoor.core.routing;

/** State of the entry's link to an upstream. */
public enum LinkState {
    /** No link has been opened yet; the upstream counts as reachable. */
    UNOPENED,
    /** The link is open. */
    OPEN,
    /** The link is open, but the peer has not answered a ping in time; used only without choice. */
    DOUBTFUL,
    /** The link ended or could not be opened; used only without choice until one opens again. */
    FAILED
}
