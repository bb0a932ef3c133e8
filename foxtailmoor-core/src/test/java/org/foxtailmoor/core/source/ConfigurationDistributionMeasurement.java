package org.foxtailmoor.core.source;

import java.util.stream.Stream;
import org.foxtailmoor.core.source.SimulatedFleet.Result;
import org.foxtailmoor.core.source.SimulatedFleet.Scenario;
import org.foxtailmoor.core.source.SimulatedFleet.Size;

/**
 * Prints the figures of all scenarios as rows of a Markdown table. Arguments: nodes, regions, bytes
 * of the configuration, first seed, last seed, "direct" or "peers", and optionally one scenario.
 */
public final class ConfigurationDistributionMeasurement {
    private ConfigurationDistributionMeasurement() {}

    public static void main(String[] arguments) {
        int[] values = Stream.of(arguments).limit(5).mapToInt(Integer::parseInt).toArray();
        Size size = new Size(values[0], values[1], values[2]);
        boolean direct = arguments[5].equals("direct");
        Scenario[] scenarios =
                arguments.length > 6
                        ? new Scenario[] {Scenario.valueOf(arguments[6])}
                        : Scenario.values();
        for (Scenario scenario : scenarios) {
            for (int seed = values[3]; seed <= values[4]; seed++) {
                Result result =
                        SimulatedFleet.measure(
                                seed,
                                size,
                                direct ? DirectNode::new : ReplicaNode.factory(),
                                scenario);
                System.out.printf(
                        "| %d | %s | %d | %d | %d | %.2f | %.2f | %d | %d | %.1f | %.2f |%n",
                        size.nodes(),
                        scenario,
                        seed,
                        result.ready(),
                        result.reached(),
                        result.medianSeconds(),
                        result.lastSeconds(),
                        result.calls(),
                        result.peakCallsPerSecond(),
                        result.regionBytes() / 1e6,
                        result.busiestSlowLinkBytes() / 1e6);
            }
        }
    }
}
