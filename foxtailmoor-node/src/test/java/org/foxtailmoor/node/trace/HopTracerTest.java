package org.foxtailmoor.node.trace;

import static org.assertj.core.api.Assertions.assertThat;

import io.opentelemetry.sdk.common.CompletableResultCode;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.foxtailmoor.base.SettingsReader;
import org.foxtailmoor.node.NodeSettings;
import org.foxtailmoor.node.NodeSettingsTest;
import org.junit.jupiter.api.Test;

class HopTracerTest {
    private static final String TRACE_ID = "4bf92f3577b34da6a3ce929d0e0e4736";
    private static final String PARENT_SPAN_ID = "00f067aa0ba902b7";
    private static final String TRACEPARENT = "00-" + TRACE_ID + "-" + PARENT_SPAN_ID + "-01";

    /** Collects the exported spans in memory. */
    private static final class InMemoryExporter implements SpanExporter {
        private final List<SpanData> mSpans = new CopyOnWriteArrayList<>();

        @Override
        public CompletableResultCode export(Collection<SpanData> spans) {
            mSpans.addAll(spans);
            return CompletableResultCode.ofSuccess();
        }

        @Override
        public CompletableResultCode flush() {
            return CompletableResultCode.ofSuccess();
        }

        @Override
        public CompletableResultCode shutdown() {
            return CompletableResultCode.ofSuccess();
        }
    }

    @Test
    void passThroughTracerForwardsTheContextUnchanged() {
        try (HopTracer tracer = new PassThroughTracer()) {
            assertThat(tracer.start("entry", "orders", TRACEPARENT).traceparent())
                    .isEqualTo(TRACEPARENT);
            assertThat(tracer.start("entry", "orders", null).traceparent()).isNull();
        }
    }

    @Test
    void hopContinuesTheTraceOfTheCaller() {
        InMemoryExporter exporter = new InMemoryExporter();
        String nextTraceparent;
        try (HopTracer tracer = OpenTelemetryTracer.of(settings(0), exporter)) {
            Hop hop = tracer.start("entry", "orders", TRACEPARENT);
            nextTraceparent = hop.traceparent();
            hop.end(503, "OVERLOADED");
        }
        SpanData span = exporter.mSpans.get(0);
        assertThat(span.getTraceId()).isEqualTo(TRACE_ID);
        assertThat(span.getParentSpanId()).isEqualTo(PARENT_SPAN_ID);
        assertThat(nextTraceparent).isEqualTo("00-" + TRACE_ID + "-" + span.getSpanId() + "-01");
        assertThat(span.getAttributes().asMap().values()).contains("orders", 503L, "OVERLOADED");
    }

    @Test
    void requestWithoutContextStartsATraceAtTheSampleRatio() {
        InMemoryExporter exporter = new InMemoryExporter();
        try (HopTracer tracer = OpenTelemetryTracer.of(settings(1), exporter)) {
            Hop hop = tracer.start("entry", "orders", null);
            // Trace flags: 1 means that the trace is sampled, 2 that its id is random.
            assertThat(hop.traceparent()).matches("00-[0-9a-f]{32}-[0-9a-f]{16}-0[13]");
            hop.end(200, null);
        }
        assertThat(exporter.mSpans).hasSize(1);
        InMemoryExporter unsampled = new InMemoryExporter();
        try (HopTracer tracer = OpenTelemetryTracer.of(settings(0), unsampled)) {
            tracer.start("entry", "orders", null).end(200, null);
        }
        assertThat(unsampled.mSpans).isEmpty();
    }

    private static NodeSettings settings(int sampleRatio) {
        String trace = "[trace]\nexporter = \"json\"\nsample_ratio = " + sampleRatio;
        return NodeSettings.of(
                SettingsReader.of("test", NodeSettingsTest.MINIMAL_SETTINGS + trace));
    }
}
