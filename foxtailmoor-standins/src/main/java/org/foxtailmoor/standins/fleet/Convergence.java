package org.foxtailmoor.standins.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.base.FoxtailmoorException;

/**
 * Time from the publication of a manifest until it is in force, for each node.
 *
 * @param milliseconds one time for each node, ascending, in milliseconds
 */
public record Convergence(List<Double> milliseconds) {
    private static final long POLL_MILLISECONDS = 50;
    private static final long TIMEOUT_SECONDS = 30;
    private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

    /** Sorts the times. */
    public Convergence {
        List<Double> sorted = new ArrayList<>(milliseconds);
        Collections.sort(sorted);
        milliseconds = List.copyOf(sorted);
    }

    /**
     * Publishes a version and polls the nodes until all have it in force. Each node's time comes
     * from the age it states, so that the polling interval does not add to it.
     *
     * @param fleet fleet that runs
     * @param built directory of the built version
     * @param number number of the version
     * @param nodes nodes to wait for
     * @throws FoxtailmoorException of kind DISAGREEMENT if a node lacks it after 30 s
     */
    public static Convergence publish(Fleet fleet, Path built, int number, List<NodePlan> nodes) {
        fleet.publishParts(built);
        long published = System.nanoTime();
        fleet.publishManifest(built);
        Map<String, Double> times = new HashMap<>();
        while (times.size() < nodes.size()) {
            if (System.nanoTime() - published > TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS)) {
                throw FoxtailmoorException.of(
                        ErrorKind.DISAGREEMENT, "version " + number + " is only on " + times);
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(POLL_MILLISECONDS));
            List<NodePlan> behind =
                    nodes.stream().filter(node -> !times.containsKey(node.id())).toList();
            Map<String, JsonNode> statuses = fleet.statuses(behind);
            double elapsed = (System.nanoTime() - published) / NANOSECONDS_PER_MILLISECOND;
            statuses.forEach(
                    (id, status) -> {
                        JsonNode catalogue = status.get("catalogue");
                        if (catalogue.get("number").asInt() >= number) {
                            double age = catalogue.get("in_force_milliseconds").asDouble();
                            times.put(id, Math.max(0, elapsed - age));
                        }
                    });
        }
        return new Convergence(new ArrayList<>(times.values()));
    }

    /** Returns a percentile in milliseconds, by the nearest rank. */
    public double percentile(double percent) {
        int rank = (int) Math.ceil(percent / 100 * milliseconds.size());
        return milliseconds.get(Math.max(0, rank - 1));
    }

    /** Returns the longest time in milliseconds. */
    public double maximum() {
        return milliseconds.get(milliseconds.size() - 1);
    }
}
