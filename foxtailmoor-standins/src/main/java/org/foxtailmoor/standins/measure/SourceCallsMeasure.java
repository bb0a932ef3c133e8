package org.foxtailmoor.standins.measure;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import org.foxtailmoor.standins.fleet.Convergence;
import org.foxtailmoor.standins.fleet.Fleet;

/** Measures calls to the source at rest, at a change and in a restart of the whole fleet. */
final class SourceCallsMeasure implements Measure {
    private static final int READY_SECONDS = 120;

    @Override
    public String name() {
        return "source-calls";
    }

    @Override
    public void run(MeasureContext context) {
        for (int size : context.sizes()) {
            try (Fleet fleet = context.startFleet(size, MeasureContext.QUICK_TARGETS)) {
                Path built = context.catalogue(fleet).build(2);
                reset(context, fleet);
                context.sleepSeconds(context.seconds());
                report(context, fleet, "rest", context.seconds());
                reset(context, fleet);
                long start = System.nanoTime();
                Convergence.publish(fleet, built, 2, fleet.plans());
                report(context, fleet, "change", (System.nanoTime() - start) / 1e9);
                fleet.stopNodes();
                reset(context, fleet);
                start = System.nanoTime();
                fleet.startNodes();
                fleet.awaitReady(READY_SECONDS);
                report(context, fleet, "fleet_restart", (System.nanoTime() - start) / 1e9);
            }
        }
    }

    private static void reset(MeasureContext context, Fleet fleet) {
        context.client()
                .send(fleet.platformControl(), "POST", "/control/counters/reset", new byte[0]);
    }

    private void report(MeasureContext context, Fleet fleet, String condition, double seconds) {
        JsonNode counters = context.client().getJson(fleet.platformControl(), "/control/counters");
        long total = counters.get("total").asLong();
        context.print(
                context.result(this, fleet)
                        .put("condition", condition)
                        .put("seconds", MeasureContext.round(seconds))
                        .put("calls", total)
                        .put("calls_per_second", MeasureContext.round(total / seconds))
                        .set("counters", counters));
    }
}
