package org.foxtailmoor.node.trace;

/** Starts a {@link Hop} for each request that passes a node. Safe for use by several threads. */
public interface HopTracer extends AutoCloseable {
    /**
     * Starts a hop.
     *
     * @param name what the node does for the request, such as {@code entry} or {@code home}
     * @param route id of the route, empty if unknown
     * @param traceparent header that the request came with, or null
     */
    Hop start(String name, String route, String traceparent);

    /** Exports what is still held, for at most a few seconds. */
    @Override
    void close();
}
