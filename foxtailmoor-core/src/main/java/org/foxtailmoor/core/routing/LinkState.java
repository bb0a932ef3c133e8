package org.foxtailmoor.core.routing;

/** State of the entry's link to an upstream. */
public enum LinkState {
    /** No link has been opened yet; the upstream counts as reachable. */
    UNOPENED,
    /** The link is open. */
    OPEN,
    /** The last attempt to open or use a link failed; the upstream is avoided for a time. */
    FAILED
}
