package org.foxtailmoor.standins.measure;

import java.nio.file.Path;
import org.foxtailmoor.standins.fleet.Convergence;
import org.foxtailmoor.standins.fleet.Fleet;

/** Measures control bytes at rest, and what a change adds to them, also across regions. */
final class ControlBytesMeasure implements Measure {
    private static final int SECONDS_AFTER_CHANGE = 5;

    @Override
    public String name() {
        return "control-bytes";
    }

    @Override
    public void run(MeasureContext context) {
        for (int size : context.sizes()) {
            try (Fleet fleet = context.startFleet(size, MeasureContext.QUICK_TARGETS)) {
                ControlTotals rest = atRest(context, fleet);
                changes(context, fleet, rest);
            }
        }
    }

    private ControlTotals atRest(MeasureContext context, Fleet fleet) {
        ControlTotals before = ControlTotals.of(fleet);
        context.sleepSeconds(context.seconds());
        ControlTotals rest = ControlTotals.of(fleet).minus(before);
        double nodeSeconds = (double) fleet.plans().size() * context.seconds();
        context.print(
                context.result(this, fleet)
                        .put("condition", "rest")
                        .put("seconds", context.seconds())
                        .put(
                                "bytes_per_node_and_second",
                                MeasureContext.round(rest.sent() / nodeSeconds))
                        .put(
                                "bytes_per_second_across_regions",
                                rest.acrossRegions() / (double) context.seconds()));
        return rest;
    }

    private void changes(MeasureContext context, Fleet fleet, ControlTotals rest) {
        double share = 0;
        ControlTotals total = new ControlTotals(0, 0);
        for (int number = 2; number < 2 + context.repetitions(); number++) {
            Path built = context.catalogue(fleet).build(number);
            ControlTotals before = ControlTotals.of(fleet);
            long start = System.nanoTime();
            Convergence.publish(fleet, built, number, fleet.plans());
            context.sleepSeconds(SECONDS_AFTER_CHANGE);
            ControlTotals change = ControlTotals.of(fleet).minus(before);
            share += (System.nanoTime() - start) / 1e9 / context.seconds();
            total =
                    new ControlTotals(
                            total.sent() + change.sent(),
                            total.acrossRegions() + change.acrossRegions());
        }
        double sent = (total.sent() - share * rest.sent()) / context.repetitions();
        double across =
                (total.acrossRegions() - share * rest.acrossRegions()) / context.repetitions();
        context.print(
                context.result(this, fleet)
                        .put("condition", "change")
                        .put("changes", context.repetitions())
                        .put("bytes_above_rest", MeasureContext.round(sent))
                        .put(
                                "bytes_above_rest_per_node",
                                MeasureContext.round(sent / fleet.plans().size()))
                        .put("bytes_above_rest_across_regions", MeasureContext.round(across)));
    }
}
