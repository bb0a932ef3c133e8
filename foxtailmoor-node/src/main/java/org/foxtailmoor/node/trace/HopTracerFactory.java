package org.foxtailmoor.node.trace;

import org.foxtailmoor.node.NodeSettings;

/** Creates the tracer selected in the settings. */
public final class HopTracerFactory {
    private HopTracerFactory() {}

    /**
     * Creates a tracer. The caller must close it.
     *
     * @param settings settings, not null
     */
    public static HopTracer create(NodeSettings settings) {
        // Without an exporter, the OpenTelemetry classes are never loaded.
        return settings.trace().exporter() == NodeSettings.Exporter.NONE
                ? new PassThroughTracer()
                : OpenTelemetryTracer.of(settings);
    }
}
