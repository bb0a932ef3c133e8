package org.foxtailmoor.node.trace;

import io.opentelemetry.api.common.AttributeKey;
import io.opentelemetry.api.common.Attributes;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.api.trace.StatusCode;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.TextMapGetter;
import io.opentelemetry.exporter.logging.otlp.internal.traces.OtlpStdoutSpanExporter;
import io.opentelemetry.exporter.otlp.http.trace.OtlpHttpSpanExporter;
import io.opentelemetry.sdk.resources.Resource;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import io.opentelemetry.sdk.trace.samplers.Sampler;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.node.NodeSettings;

/** Records spans with OpenTelemetry and exports them in the background. */
public final class OpenTelemetryTracer implements HopTracer {
    private static final String TRACEPARENT = "traceparent";
    private static final int MAX_QUEUED_SPANS = 1_024;
    private static final long CLOSE_TIMEOUT_SECONDS = 2;

    private static final AttributeKey<String> SERVICE_NAME = AttributeKey.stringKey("service.name");
    private static final AttributeKey<String> INSTANCE_ID =
            AttributeKey.stringKey("service.instance.id");
    private static final AttributeKey<String> ROUTE = AttributeKey.stringKey("http.route");
    private static final AttributeKey<Long> STATUS_CODE =
            AttributeKey.longKey("http.response.status_code");
    private static final AttributeKey<String> ERROR_TYPE = AttributeKey.stringKey("error.type");

    private static final TextMapGetter<String> GETTER =
            new TextMapGetter<>() {
                @Override
                public Iterable<String> keys(String traceparent) {
                    return List.of(TRACEPARENT);
                }

                @Override
                public String get(String traceparent, String key) {
                    return TRACEPARENT.equals(key) ? traceparent : null;
                }
            };

    private final SdkTracerProvider mProvider;
    private final Tracer mTracer;

    private OpenTelemetryTracer(SdkTracerProvider provider) {
        mProvider = provider;
        mTracer = provider.get("org.foxtailmoor.node");
    }

    /**
     * Creates a tracer with the exporter selected in the settings.
     *
     * @param settings settings whose exporter is JSON (to standard output) or OTLP (over HTTP)
     */
    public static OpenTelemetryTracer of(NodeSettings settings) {
        return of(settings, newExporter(settings.trace()));
    }

    /**
     * Creates a tracer with the given exporter.
     *
     * @param settings settings, not null
     * @param exporter receives the finished spans, not null
     */
    public static OpenTelemetryTracer of(NodeSettings settings, SpanExporter exporter) {
        Resource resource =
                Resource.create(
                        Attributes.of(
                                SERVICE_NAME,
                                settings.node().service(),
                                INSTANCE_ID,
                                settings.node().id()));
        Sampler sampler =
                Sampler.parentBased(Sampler.traceIdRatioBased(settings.trace().sampleRatio()));
        BatchSpanProcessor processor =
                BatchSpanProcessor.builder(exporter).setMaxQueueSize(MAX_QUEUED_SPANS).build();
        return new OpenTelemetryTracer(
                SdkTracerProvider.builder()
                        .setResource(resource)
                        .setSampler(sampler)
                        .addSpanProcessor(processor)
                        .build());
    }

    @Override
    public Hop start(String name, String route, String traceparent) {
        Context parent =
                traceparent == null
                        ? Context.root()
                        : W3CTraceContextPropagator.getInstance()
                                .extract(Context.root(), traceparent, GETTER);
        Span span =
                mTracer.spanBuilder(name)
                        .setParent(parent)
                        .setSpanKind(SpanKind.SERVER)
                        .setAttribute(ROUTE, route)
                        .startSpan();
        return new SpanHop(span);
    }

    @Override
    public void close() {
        mProvider.shutdown().join(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private static SpanExporter newExporter(NodeSettings.TraceSection settings) {
        return switch (settings.exporter()) {
            case OTLP -> OtlpHttpSpanExporter.builder().setEndpoint(settings.endpoint()).build();
            case JSON -> OtlpStdoutSpanExporter.builder().setOutput(System.out).build();
            case NONE -> throw new IllegalArgumentException("trace.exporter is none");
        };
    }

    private record SpanHop(Span span) implements Hop {
        @Override
        public String traceparent() {
            String[] header = new String[1];
            W3CTraceContextPropagator.getInstance()
                    .inject(
                            Context.root().with(span),
                            header,
                            (carrier, key, value) -> {
                                if (TRACEPARENT.equals(key)) {
                                    carrier[0] = value;
                                }
                            });
            return header[0];
        }

        @Override
        public void end(int status, String errorKind) {
            span.setAttribute(STATUS_CODE, (long) status);
            if (errorKind != null) {
                span.setAttribute(ERROR_TYPE, errorKind);
                span.setStatus(StatusCode.ERROR);
            }
            span.end();
        }
    }
}
