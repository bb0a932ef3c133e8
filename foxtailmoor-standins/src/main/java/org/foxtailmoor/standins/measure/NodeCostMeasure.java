package org.foxtailmoor.standins.measure;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.foxtailmoor.standins.fleet.Fleet;
import org.foxtailmoor.standins.fleet.NodePlan;

/** Measures the processor share and resident memory of nodes at rest, as the launcher runs them. */
final class NodeCostMeasure implements Measure {
    @Override
    public String name() {
        return "node-cost";
    }

    @Override
    public void run(MeasureContext context) {
        for (int size : context.sizes()) {
            try (Fleet fleet = context.startFleet(size, MeasureContext.QUICK_TARGETS)) {
                Map<String, ProcessUsage> before = new HashMap<>();
                fleet.plans().forEach(plan -> before.put(plan.id(), usage(fleet, plan)));
                context.sleepSeconds(context.seconds());
                List<Double> shares = new ArrayList<>();
                List<Double> memories = new ArrayList<>();
                for (NodePlan plan : fleet.plans()) {
                    ProcessUsage after = usage(fleet, plan);
                    double used = after.cpuSeconds() - before.get(plan.id()).cpuSeconds();
                    shares.add(used / context.seconds());
                    memories.add(after.residentMebibytes());
                }
                report(context, fleet, shares, memories);
            }
        }
    }

    private void report(
            MeasureContext context, Fleet fleet, List<Double> shares, List<Double> memories) {
        context.print(
                context.result(this, fleet)
                        .put("seconds", context.seconds())
                        .put("cpu_share_mean", MeasureContext.round(mean(shares)))
                        .put("cpu_share_max", MeasureContext.round(max(shares)))
                        .put("resident_mebibytes_mean", MeasureContext.round(mean(memories)))
                        .put("resident_mebibytes_max", MeasureContext.round(max(memories))));
    }

    private static ProcessUsage usage(Fleet fleet, NodePlan plan) {
        return ProcessUsage.of(fleet.process(plan.id()).pid());
    }

    private static double mean(List<Double> values) {
        return values.stream().mapToDouble(Double::doubleValue).average().orElse(0);
    }

    private static double max(List<Double> values) {
        return values.stream().mapToDouble(Double::doubleValue).max().orElse(0);
    }
}
