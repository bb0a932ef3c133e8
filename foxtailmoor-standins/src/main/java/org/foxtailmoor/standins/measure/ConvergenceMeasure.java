package org.foxtailmoor.standins.measure;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.foxtailmoor.standins.fleet.CatalogueSource;
import org.foxtailmoor.standins.fleet.Convergence;
import org.foxtailmoor.standins.fleet.Fleet;
import org.foxtailmoor.standins.fleet.NodePlan;
import org.foxtailmoor.standins.load.LoadRun;

/**
 * Measures the time from a publication until it is in force on each node: idle, under load, and
 * with the node that reads the source killed at the moment of the change.
 */
final class ConvergenceMeasure implements Measure {
    private static final double LOOKUPS_PER_SECOND = 1_000;
    private static final int PAUSE_SECONDS = 2;
    private static final int READY_SECONDS = 60;
    private static final int SECONDS_A_CHANGE = 5;

    private int mNumber;

    @Override
    public String name() {
        return "convergence";
    }

    @Override
    public void run(MeasureContext context) {
        for (int size : context.sizes()) {
            mNumber = 1;
            try (Fleet fleet = context.startFleet(size, MeasureContext.QUICK_TARGETS)) {
                report(context, fleet, "idle", changes(context, fleet));
                report(context, fleet, "under_load", changesUnderLoad(context, fleet));
                report(context, fleet, "reader_killed", changesWithKill(context, fleet));
            }
        }
    }

    private List<Double> changes(MeasureContext context, Fleet fleet) {
        CatalogueSource catalogue = context.catalogue(fleet);
        List<Double> times = new ArrayList<>();
        for (int i = 0; i < context.repetitions(); i++) {
            mNumber++;
            Path built = catalogue.build(mNumber);
            context.sleepSeconds(PAUSE_SECONDS);
            Convergence change = Convergence.publish(fleet, built, mNumber, fleet.plans());
            times.addAll(change.milliseconds());
        }
        return times;
    }

    private List<Double> changesUnderLoad(MeasureContext context, Fleet fleet) {
        Duration duration = Duration.ofSeconds((long) context.repetitions() * SECONDS_A_CHANGE);
        LoadRun load =
                new LoadRun(
                        List.of(fleet.deployment().loadOf(0, LOOKUPS_PER_SECOND)),
                        fleet.callers(null),
                        Duration.ZERO,
                        duration);
        Thread sender = new Thread(load::run, "load");
        sender.setDaemon(true);
        sender.start();
        List<Double> times = changes(context, fleet);
        join(sender);
        return times;
    }

    private List<Double> changesWithKill(MeasureContext context, Fleet fleet) {
        CatalogueSource catalogue = context.catalogue(fleet);
        List<Double> times = new ArrayList<>();
        for (int i = 0; i < context.repetitions(); i++) {
            mNumber++;
            Path built = catalogue.build(mNumber);
            context.sleepSeconds(PAUSE_SECONDS);
            NodePlan reader = reader(fleet);
            List<NodePlan> others = new ArrayList<>(fleet.plans());
            others.remove(reader);
            fleet.process(reader.id()).kill();
            times.addAll(Convergence.publish(fleet, built, mNumber, others).milliseconds());
            fleet.process(reader.id()).awaitEnd(1);
            fleet.startNode(reader);
            fleet.awaitReady(READY_SECONDS);
            context.sleepSeconds(PAUSE_SECONDS);
        }
        return times;
    }

    /** Returns a node that had the last version from the source itself, or else the first node. */
    private static NodePlan reader(Fleet fleet) {
        Map<String, JsonNode> statuses = fleet.statuses(fleet.plans());
        return fleet.plans().stream()
                .filter(plan -> isFromSource(statuses.get(plan.id())))
                .findFirst()
                .orElse(fleet.plans().get(0));
    }

    private static boolean isFromSource(JsonNode status) {
        return status.get("catalogue").get("from").asText().equals("source");
    }

    private void report(MeasureContext context, Fleet fleet, String condition, List<Double> times) {
        Convergence all = new Convergence(times);
        context.print(
                context.result(this, fleet)
                        .put("condition", condition)
                        .put("changes", context.repetitions())
                        .put("p50_milliseconds", MeasureContext.round(all.percentile(50)))
                        .put("p99_milliseconds", MeasureContext.round(all.percentile(99)))
                        .put("max_milliseconds", MeasureContext.round(all.maximum())));
    }

    private static void join(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
