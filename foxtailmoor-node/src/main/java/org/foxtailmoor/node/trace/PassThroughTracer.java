package org.foxtailmoor.node.trace;

/** Records no spans and forwards the received trace context unchanged. */
public final class PassThroughTracer implements HopTracer {
    private record PassThroughHop(String traceparent) implements Hop {
        @Override
        public void end(int status, String errorKind) {
            // No span is recorded.
        }
    }

    private static final Hop HOP_WITHOUT_CONTEXT = new PassThroughHop(null);

    @Override
    public Hop start(String name, String route, String traceparent) {
        return traceparent == null ? HOP_WITHOUT_CONTEXT : new PassThroughHop(traceparent);
    }

    @Override
    public void close() {
        // No spans are buffered.
    }
}
