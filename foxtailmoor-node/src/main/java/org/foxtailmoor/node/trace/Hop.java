package org.foxtailmoor.node.trace;

/** Trace span that a node records for one request. */
public interface Hop {
    /**
     * Returns the value of the {@code traceparent} header to send to the next hop, or null if there
     * is no trace context.
     */
    String traceparent();

    /**
     * Ends the span.
     *
     * @param status HTTP status of the response, at least 100
     * @param errorKind name of the error kind, or null if the target produced the response
     */
    void end(int status, String errorKind);
}
