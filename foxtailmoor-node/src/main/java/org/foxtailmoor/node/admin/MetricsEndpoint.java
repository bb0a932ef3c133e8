package org.foxtailmoor.node.admin;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Answers with every metric: numbers as such, distributions as an object of their quantiles. */
public final class MetricsEndpoint implements AdminEndpoint {
    private static final double NANOSECONDS_PER_MICROSECOND = TimeUnit.MICROSECONDS.toNanos(1);

    private final MetricRegistry mMetrics;

    /**
     * Creates the endpoint.
     *
     * @param metrics registry to show, not null
     */
    public MetricsEndpoint(MetricRegistry metrics) {
        mMetrics = metrics;
    }

    @Override
    public CompletableFuture<AdminResponse> answer(Map<String, List<String>> parameters) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        mMetrics.getGauges().forEach((name, gauge) -> body.putPOJO(name, gauge.getValue()));
        mMetrics.getCounters().forEach((name, counter) -> body.put(name, counter.getCount()));
        mMetrics.getMeters().forEach((name, meter) -> body.put(name, meter.getCount()));
        mMetrics.getHistograms().forEach((name, histogram) -> body.set(name, of(histogram)));
        mMetrics.getTimers().forEach((name, timer) -> body.set(name, of(timer)));
        return CompletableFuture.completedFuture(new AdminResponse(200, body));
    }

    private static ObjectNode of(Histogram histogram) {
        Snapshot snapshot = histogram.getSnapshot();
        return JsonNodeFactory.instance
                .objectNode()
                .put("count", histogram.getCount())
                .put("p50", snapshot.getMedian())
                .put("p99", snapshot.get99thPercentile())
                .put("max", snapshot.getMax());
    }

    private static ObjectNode of(Timer timer) {
        Snapshot snapshot = timer.getSnapshot();
        return JsonNodeFactory.instance
                .objectNode()
                .put("count", timer.getCount())
                .put("p50_microseconds", snapshot.getMedian() / NANOSECONDS_PER_MICROSECOND)
                .put("p99_microseconds", snapshot.get99thPercentile() / NANOSECONDS_PER_MICROSECOND)
                .put("max_microseconds", snapshot.getMax() / NANOSECONDS_PER_MICROSECOND);
    }
}
