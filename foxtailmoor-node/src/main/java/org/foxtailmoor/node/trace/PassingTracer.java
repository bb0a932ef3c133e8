package org.foxtailmoor.node.trace;

/** Records nothing and passes the trace context on as it came. */
public final class PassingTracer implements HopTracer {
    private record PassingHop(String traceparent) implements Hop {
        @Override
        public void end(int status, String errorKind) {
            // Nothing is recorded.
        }
    }

    private static final Hop NO_CONTEXT = new PassingHop(null);

    @Override
    public Hop start(String name, String route, String traceparent) {
        return traceparent == null ? NO_CONTEXT : new PassingHop(traceparent);
    }

    @Override
    public void close() {
        // Nothing is held.
    }
}
