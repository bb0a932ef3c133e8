package org.foxtailmoor.standins.measure;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.foxtailmoor.standins.fleet.CatalogueSource;
import org.foxtailmoor.standins.fleet.Deployment;
import org.foxtailmoor.standins.fleet.Fleet;
import org.foxtailmoor.standins.load.ExecutionCheck;
import org.foxtailmoor.standins.load.KindResult;
import org.foxtailmoor.standins.load.LoadKind;
import org.foxtailmoor.standins.load.LoadRun;

/**
 * Measures goodput by kind and weight at the capacity of the targets' slots and at twice that.
 *
 * <p>The service time is long, so that slots are the bottleneck and not the processors.
 */
final class OverloadMeasure implements Measure {
    private static final List<Double> FACTORS = List.of(0.8, 2.0);
    private static final int NODES = 13;
    private static final double SERVICE_SECONDS = 0.4;
    private static final int BODY_BYTES = 65_536;
    private static final Duration WARMUP = Duration.ofSeconds(5);
    private static final String SLOW_TARGETS =
            "{\"slots\":20,\"queue\":20,\"service_milliseconds\":400,"
                    + "\"distribution\":\"CONSTANT\"}";

    @Override
    public String name() {
        return "overload";
    }

    @Override
    public void run(MeasureContext context) {
        try (Fleet fleet = context.startFleet(NODES, SLOW_TARGETS)) {
            FACTORS.forEach(factor -> measure(context, fleet, "catalogue", factor));
        }
        try (Fleet fleet =
                context.startFleet(NODES, SLOW_TARGETS, CatalogueSource::withoutLimits)) {
            FACTORS.forEach(factor -> measure(context, fleet, "none", factor));
        }
    }

    private void measure(MeasureContext context, Fleet fleet, String limits, double factor) {
        List<LoadKind> kinds = new ArrayList<>();
        for (int i = 0; i < fleet.deployment().services().size(); i++) {
            LoadKind kind = fleet.deployment().loadOf(i, factor * capacity(fleet, i));
            kinds.add(kind.bodyBytes() > BODY_BYTES ? kind.withBodyBytes(BODY_BYTES) : kind);
        }
        Duration duration = Duration.ofSeconds(context.seconds());
        LoadRun run = new LoadRun(kinds, fleet.callers(null), WARMUP, duration);
        context.client()
                .send(fleet.targetControl(), "POST", "/control/executions/reset", new byte[0]);
        run.run();
        int index = 0;
        for (KindResult result : run.results()) {
            double capacity = capacity(fleet, index++);
            double goodput = result.toJson(context.seconds()).get("goodput_per_second").asDouble();
            context.print(
                    context.result(this, fleet)
                            .put("limits", limits)
                            .put("load_factor", factor)
                            .put("capacity_per_second", capacity)
                            .put("goodput_share", MeasureContext.round(goodput / capacity))
                            .setAll(result.toJson(context.seconds())));
        }
        JsonNode record = context.client().getJson(fleet.targetControl(), "/control/executions");
        context.print(
                context.result(this, fleet)
                        .put("limits", limits)
                        .put("load_factor", factor)
                        .setAll(ExecutionCheck.of(run.results(), List.of(record)).toJson()));
    }

    /**
     * Returns the requests per second that the slots of a service can run. Requests with keys run
     * only in the home region, so only its upstreams count for them.
     */
    private static double capacity(Fleet fleet, int service) {
        Deployment deployment = fleet.deployment();
        Deployment.Service called = deployment.services().get(service);
        boolean withKey = deployment.loadOf(service, 1).withKey();
        long upstreams =
                fleet.plans().stream()
                        .filter(plan -> plan.service().equals(called.id()))
                        .filter(plan -> !withKey || plan.region().equals(deployment.homeRegion()))
                        .count();
        return upstreams * deployment.slots() / SERVICE_SECONDS;
    }
}
