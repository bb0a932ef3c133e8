package org.foxtailmoor.standins.measure;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import org.foxtailmoor.standins.fleet.Fleet;
import org.foxtailmoor.standins.fleet.NodePlan;
import org.foxtailmoor.standins.load.KindResult;
import org.foxtailmoor.standins.load.LoadKind;
import org.foxtailmoor.standins.load.LoadRun;
import org.foxtailmoor.standins.load.Verdict;

/** Measures latencies through nodes and directly at the targets, in turn within one run. */
final class AddedLatencyMeasure implements Measure {
    private static final int NODES = 13;
    private static final double LOOKUPS_PER_SECOND = 500;
    private static final Duration WARMUP = Duration.ofSeconds(5);

    @Override
    public String name() {
        return "added-latency";
    }

    @Override
    public void run(MeasureContext context) {
        try (Fleet fleet = context.startFleet(NODES, MeasureContext.QUICK_TARGETS)) {
            String service = fleet.deployment().services().get(0).id();
            List<InetSocketAddress> targets =
                    fleet.plans().stream()
                            .filter(plan -> plan.service().equals(service))
                            .map(NodePlan::target)
                            .toList();
            for (int i = 1; i <= context.repetitions(); i++) {
                KindResult direct = measure(context, fleet, targets);
                KindResult routed = measure(context, fleet, fleet.callers(null));
                report(context, fleet, i, direct, routed);
            }
        }
    }

    private static KindResult measure(
            MeasureContext context, Fleet fleet, List<InetSocketAddress> addresses) {
        LoadKind kind = fleet.deployment().loadOf(0, LOOKUPS_PER_SECOND);
        Duration duration = Duration.ofSeconds(context.seconds());
        LoadRun run = new LoadRun(List.of(kind), addresses, WARMUP, duration);
        run.run();
        return run.results().get(0);
    }

    private void report(
            MeasureContext context,
            Fleet fleet,
            int repetition,
            KindResult direct,
            KindResult routed) {
        context.print(
                context.result(this, fleet)
                        .put("repetition", repetition)
                        .put("requests_per_second", LOOKUPS_PER_SECOND)
                        .put("direct_p50_milliseconds", direct.latencyMilliseconds(50))
                        .put("direct_p99_milliseconds", direct.latencyMilliseconds(99))
                        .put("routed_p50_milliseconds", routed.latencyMilliseconds(50))
                        .put("routed_p99_milliseconds", routed.latencyMilliseconds(99))
                        .put("added_p50_milliseconds", difference(direct, routed, 50))
                        .put("added_p99_milliseconds", difference(direct, routed, 99))
                        .put("direct_not_right", direct.sent() - direct.count(Verdict.RIGHT))
                        .put("routed_not_right", routed.sent() - routed.count(Verdict.RIGHT)));
    }

    private static double difference(KindResult direct, KindResult routed, double percentile) {
        return MeasureContext.round(
                routed.latencyMilliseconds(percentile) - direct.latencyMilliseconds(percentile));
    }
}
