package org.foxtailmoor.core.routing;

/** State of the link from the entry node to an upstream. */
public enum LinkState {
    /** No link has been opened yet; the upstream counts as reachable. */
    UNOPENED,
    /** The link is open. */
    OPEN,
    /** The link is open, but the peer has not answered a ping in time; used as a last resort. */
    DOUBTFUL,
    /** The link closed or could not be opened; used as a last resort until it opens again. */
    FAILED
}
