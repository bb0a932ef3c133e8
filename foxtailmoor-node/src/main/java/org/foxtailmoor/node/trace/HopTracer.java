package org.foxtailmoor.node.trace;

/** Starts a {@link Hop} for each request that a node handles. Implementations are thread-safe. */
public interface HopTracer extends AutoCloseable {
    /**
     * Starts a hop.
     *
     * @param name span name, which is the role of the node: {@code entry} or {@code home}
     * @param route id of the route, empty if unknown
     * @param traceparent value of the received {@code traceparent} header, or null if it is absent
     */
    Hop start(String name, String route, String traceparent);

    /** Exports the remaining spans, blocking for a few seconds at most. */
    @Override
    void close();
}
