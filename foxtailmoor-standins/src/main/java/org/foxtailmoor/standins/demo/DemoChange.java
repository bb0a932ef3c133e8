package org.foxtailmoor.standins.demo;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.Collection;
import java.util.Locale;
import org.foxtailmoor.standins.fleet.Convergence;
import org.foxtailmoor.standins.fleet.Fleet;

/**
 * Figures of one catalogue change.
 *
 * @param fleet name of the deployment
 * @param nodes number of nodes
 * @param convergence times of the nodes
 * @param sent control bytes that all nodes sent since their start
 * @param sentAcrossRegions the part of them that went to another region
 */
record DemoChange(
        String fleet, int nodes, Convergence convergence, long sent, long sentAcrossRegions) {
    /** Publishes a change and waits until it is in force on all nodes. */
    static DemoChange of(Fleet fleet, Path built, int number) {
        Convergence convergence = Convergence.publish(fleet, built, number, fleet.plans());
        Collection<JsonNode> statuses = fleet.statuses(fleet.plans()).values();
        return new DemoChange(
                fleet.deployment().name(),
                fleet.plans().size(),
                convergence,
                sum(statuses, "sent"),
                sum(statuses, "sent_across_regions"));
    }

    void print() {
        System.out.printf(
                Locale.ROOT,
                "demo: %s: change in force on %d nodes, p50 %.0f ms, last %.0f ms;"
                        + " control bytes since the start: %d, across regions %d%n",
                fleet,
                nodes,
                convergence.percentile(50),
                convergence.maximum(),
                sent,
                sentAcrossRegions);
    }

    private static long sum(Collection<JsonNode> statuses, String name) {
        return statuses.stream()
                .mapToLong(status -> status.get("control_bytes").get(name).asLong())
                .sum();
    }
}
