package org.foxtailmoor.node.trace;

import org.foxtailmoor.node.NodeSettings;

/** Chooses the tracer that the settings ask for. */
public final class Tracers {
    private Tracers() {}

    /**
     * Returns a tracer, which the caller closes.
     *
     * @param settings settings, not null
     */
    public static HopTracer of(NodeSettings settings) {
        // The class that loads OpenTelemetry is touched only when spans are recorded.
        return settings.trace().exporter() == NodeSettings.Exporter.NONE
                ? new PassingTracer()
                : RecordingTracer.of(settings);
    }
}
