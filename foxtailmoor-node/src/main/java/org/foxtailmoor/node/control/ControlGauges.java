package org.foxtailmoor.node.control;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.EnumMap;
import java.util.Map;
import org.foxtailmoor.core.distribution.DistributionEngine;
import org.foxtailmoor.core.distribution.DistributionStatus;
import org.foxtailmoor.protocol.generated.Topic;

/** Exports the active version numbers and the source age as metrics. */
final class ControlGauges {
    private static final int TICKS_PER_UPDATE = 10;
    private static final String METRIC_NAME_PREFIX = "foxtailmoor.control.";

    private volatile Map<Topic, DistributionStatus.TopicStatus> mTopics = Map.of();
    private int mTickCount;

    ControlGauges(MetricRegistry metrics) {
        register(metrics, "catalogue_number", () -> number(Topic.TOPIC_CATALOGUE));
        register(metrics, "instances_number", () -> number(Topic.TOPIC_INSTANCES));
        register(metrics, "source_age_milliseconds", this::sourceAgeMilliseconds);
    }

    /** Reads the status of the engine once a second. Must be called on each control tick. */
    void onTick(DistributionEngine engine) {
        if (mTickCount++ % TICKS_PER_UPDATE != 0) {
            return;
        }
        Map<Topic, DistributionStatus.TopicStatus> topics = new EnumMap<>(Topic.class);
        engine.status().topics().forEach(topic -> topics.put(topic.topic(), topic));
        mTopics = topics;
    }

    private static void register(MetricRegistry metrics, String name, Gauge<Long> gauge) {
        metrics.registerGauge(METRIC_NAME_PREFIX + name, gauge);
    }

    private long number(Topic topic) {
        DistributionStatus.TopicStatus status = mTopics.get(topic);
        return status == null ? 0 : status.version().getNumber();
    }

    private long sourceAgeMilliseconds() {
        DistributionStatus.TopicStatus status = mTopics.get(Topic.TOPIC_CATALOGUE);
        return status == null ? -1 : status.sourceAgeMilliseconds();
    }
}
