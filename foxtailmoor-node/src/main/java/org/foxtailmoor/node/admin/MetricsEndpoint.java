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
 * Shows the metrics of a node in the text format of Prometheus. Dots in names become underscores;
 * histograms and timers are summaries with the unit that their name states.
 */
public final class MetricsEndpoint implements AdminEndpoint {
    private static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";
    private static final int STATUS_OK = 200;

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
        Page page = new Page();
        mMetrics.getGauges().forEach((name, gauge) -> page.value(name, "gauge", gauge.getValue()));
        mMetrics.getCounters()
                .forEach((name, counter) -> page.value(name, "counter", counter.getCount()));
        mMetrics.getMeters()
                .forEach((name, meter) -> page.value(name, "counter", meter.getCount()));
        mMetrics.getHistograms().forEach(page::summary);
        mMetrics.getTimers().forEach(page::summary);
        return CompletableFuture.completedFuture(
                new AdminResponse(STATUS_OK, CONTENT_TYPE, page.text()));
    }

    /** Text under construction, one sample a line. */
    private static final class Page {
        private final StringBuilder mText = new StringBuilder();

        void value(String name, String type, Object value) {
            if (value instanceof Number number) {
                String known = declare(name, type);
                sample(known, number);
            }
        }

        void summary(String name, Histogram histogram) {
            summary(name, histogram.getCount(), histogram.getSnapshot());
        }

        void summary(String name, Timer timer) {
            summary(name, timer.getCount(), timer.getSnapshot());
        }

        String text() {
            return mText.toString();
        }

        private void summary(String name, long count, Snapshot snapshot) {
            String known = declare(name, "summary");
            sample(known + "{quantile=\"0.5\"}", snapshot.getMedian());
            sample(known + "{quantile=\"0.99\"}", snapshot.get99thPercentile());
            sample(known + "{quantile=\"1\"}", snapshot.getMax());
            sample(known + "_count", count);
        }

        private String declare(String name, String type) {
            String known = name.replace('.', '_').replace('-', '_').toLowerCase(Locale.ROOT);
            mText.append("# TYPE ").append(known).append(' ').append(type).append('\n');
            return known;
        }

        private void sample(String name, Number value) {
            mText.append(name).append(' ').append(value).append('\n');
        }
    }
}
