package org.foxtailmoor.node.admin;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Exports the metrics of a node in the Prometheus text format. Dots and hyphens in names become
 * underscores. Histograms and timers are exported as summaries in the unit that their name states.
 */
public final class MetricsEndpoint implements AdminEndpoint {
    private static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";
    private static final int STATUS_OK = 200;

    private final MetricRegistry mMetrics;

    /**
     * Creates the endpoint.
     *
     * @param metrics registry to export, not null
     */
    public MetricsEndpoint(MetricRegistry metrics) {
        mMetrics = metrics;
    }

    @Override
    public CompletableFuture<AdminResponse> handle(Map<String, List<String>> parameters) {
        TextBuilder builder = new TextBuilder();
        mMetrics.getGauges()
                .forEach((name, gauge) -> builder.addValue(name, "gauge", gauge.getValue()));
        mMetrics.getCounters()
                .forEach((name, counter) -> builder.addValue(name, "counter", counter.getCount()));
        mMetrics.getMeters()
                .forEach((name, meter) -> builder.addValue(name, "counter", meter.getCount()));
        mMetrics.getHistograms().forEach(builder::addSummary);
        mMetrics.getTimers().forEach(builder::addSummary);
        return CompletableFuture.completedFuture(
                new AdminResponse(STATUS_OK, CONTENT_TYPE, builder.text()));
    }

    /** Builds the response text, one sample per line. */
    private static final class TextBuilder {
        private final StringBuilder mText = new StringBuilder();

        void addValue(String name, String type, Object value) {
            if (value instanceof Number number) {
                String sampleName = appendType(name, type);
                appendSample(sampleName, number);
            }
        }

        void addSummary(String name, Histogram histogram) {
            addSummary(name, histogram.getCount(), histogram.getSnapshot());
        }

        void addSummary(String name, Timer timer) {
            addSummary(name, timer.getCount(), timer.getSnapshot());
        }

        String text() {
            return mText.toString();
        }

        private void addSummary(String name, long count, Snapshot snapshot) {
            String sampleName = appendType(name, "summary");
            appendSample(sampleName + "{quantile=\"0.5\"}", snapshot.getMedian());
            appendSample(sampleName + "{quantile=\"0.99\"}", snapshot.get99thPercentile());
            appendSample(sampleName + "{quantile=\"1\"}", snapshot.getMax());
            appendSample(sampleName + "_count", count);
        }

        private String appendType(String name, String type) {
            String sampleName = name.replace('.', '_').replace('-', '_').toLowerCase(Locale.ROOT);
            mText.append("# TYPE ").append(sampleName).append(' ').append(type).append('\n');
            return sampleName;
        }

        private void appendSample(String name, Number value) {
            mText.append(name).append(' ').append(value).append('\n');
        }
    }
}
