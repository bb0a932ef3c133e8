package org.foxtailmoor.node.trace;

/** The part of a trace that one node records for one request. */
public interface Hop {
    /** Returns the traceparent header for the next hop, or null if there is none. */
    String traceparent();

    /**
     * Ends the hop.
     *
     * @param status HTTP status of the answer, at least 100
     * @param errorKind name of the error kind, or null for an answer of the target
     */
    void end(int status, String errorKind);
}
