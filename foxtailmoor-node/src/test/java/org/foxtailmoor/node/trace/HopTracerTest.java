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
    private static final String TRACE = "4bf92f3577b34da6a3ce929d0e0e4736";
    private static final String PARENT = "00f067aa0ba902b7";
    private static final String TRACEPARENT = "00-" + TRACE + "-" + PARENT + "-01";

    /** Keeps the spans in memory. */
    private static final class KeptSpans implements SpanExporter {
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
    void passingTracerKeepsTheContextAsItCame() {
        try (HopTracer tracer = new PassingTracer()) {
            assertThat(tracer.start("entry", "orders", TRACEPARENT).traceparent())
                    .isEqualTo(TRACEPARENT);
            assertThat(tracer.start("entry", "orders", null).traceparent()).isNull();
        }
    }

    @Test
    void hopJoinsTheTraceOfItsCaller() {
        KeptSpans spans = new KeptSpans();
        String passed;
        try (HopTracer tracer = RecordingTracer.of(settings(0), spans)) {
            Hop hop = tracer.start("entry", "orders", TRACEPARENT);
            passed = hop.traceparent();
            hop.end(503, "OVERLOADED");
        }
        SpanData span = spans.mSpans.get(0);
        assertThat(span.getTraceId()).isEqualTo(TRACE);
        assertThat(span.getParentSpanId()).isEqualTo(PARENT);
        assertThat(passed).isEqualTo("00-" + TRACE + "-" + span.getSpanId() + "-01");
        assertThat(span.getAttributes().asMap().values()).contains("orders", 503L, "OVERLOADED");
    }

    @Test
    void callWithoutContextBeginsATraceBySampleRatio() {
        KeptSpans spans = new KeptSpans();
        try (HopTracer tracer = RecordingTracer.of(settings(1), spans)) {
            Hop hop = tracer.start("entry", "orders", null);
            // Flag 1 says that the trace is sampled, flag 2 that its id is random.
            assertThat(hop.traceparent()).matches("00-[0-9a-f]{32}-[0-9a-f]{16}-0[13]");
            hop.end(200, null);
        }
        assertThat(spans.mSpans).hasSize(1);
        KeptSpans none = new KeptSpans();
        try (HopTracer tracer = RecordingTracer.of(settings(0), none)) {
            tracer.start("entry", "orders", null).end(200, null);
        }
        assertThat(none.mSpans).isEmpty();
    }

    private static NodeSettings settings(int sampleRatio) {
        String trace = "[trace]\nexporter = \"json\"\nsample_ratio = " + sampleRatio;
        return NodeSettings.of(SettingsReader.of("test", NodeSettingsTest.SMALLEST + trace));
    }
}
