package org.foxtailmoor.core.distribution;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.foxtailmoor.protocol.Document;
import org.foxtailmoor.protocol.generated.ControlMessage;
import org.foxtailmoor.protocol.generated.Instance;

/**
 * Measures simulated convergence times and traffic at the target size, with the delays of {@link
 * FakeFleet}. Arguments: seed, number of changes.
 */
public final class ConvergenceMeasurement {
    private static final int NODES_PER_ZONE = 171;
    private static final int SERVICES = 190;
    private static final int PART_BYTES = 1_000;
    private static final int CHANGE_INTERVAL_MILLISECONDS = 12_000;
    private static final int IDLE_PERIOD_MILLISECONDS = 10_000;

    private ConvergenceMeasurement() {}

    /**
     * Figures of one fleet. {@code missing} counts the nodes that lacked a change after 12 s.
     * {@code idleBytesPerSecond} is the traffic sent per live node and {@code
     * idleCrossingBytesPerSecond} the advert traffic between all regions, both while nothing is
     * published. {@code crossingUpdateBytes} is the update traffic between regions for each change.
     */
    record Result(
            long seed,
            int nodes,
            int deadTenths,
            double p50Seconds,
            double p99Seconds,
            double longestSeconds,
            int missing,
            double idleBytesPerSecond,
            double idleCrossingBytesPerSecond,
            List<Long> crossingUpdateBytes) {}

    public static void main(String[] arguments) {
        long seed = arguments.length > 0 ? Long.parseLong(arguments[0]) : 1;
        int changes = arguments.length > 1 ? Integer.parseInt(arguments[1]) : 3;
        IntStream.of(0, 1, 3)
                .parallel()
                .forEach(dead -> System.out.println(measure(seed, NODES_PER_ZONE, dead, changes)));
    }

    static Result measure(long seed, int nodesPerZone, int deadTenths, int changes) {
        SplittableRandom random = new SplittableRandom(seed);
        List<String> regions = List.of(Fixtures.SOURCE_REGION, "r1", "r2", "r3", "r4", "r5");
        List<Instance> instances = Fixtures.instances(regions, 17, nodesPerZone, SERVICES);
        Document catalogue = Fixtures.catalogue(1, SERVICES, PART_BYTES);
        FakeFleet fleet = FakeFleet.createReady(random, instances, catalogue);
        for (FakeNode node : fleet.nodes()) {
            node.mDead = random.nextInt(10) < deadTenths;
        }
        fleet.run(20_000);
        resetCounters(fleet);
        fleet.run(IDLE_PERIOD_MILLISECONDS);
        double seconds = IDLE_PERIOD_MILLISECONDS / 1e3;
        double idle = fleet.mSentBytes / seconds / fleet.live().size();
        double crossRegionBytesPerSecond =
                crossRegionBytes(fleet, ControlMessage.KindCase.ADVERT) / seconds;
        List<Double> times = new ArrayList<>();
        List<Long> updates = new ArrayList<>();
        for (int change = 0; change < changes; change++) {
            resetCounters(fleet);
            catalogue =
                    Fixtures.withChangedOwner(
                            catalogue, 2 + change, "s" + change, "owner" + change);
            times.addAll(publishAndMeasure(fleet, catalogue));
            updates.add(crossRegionBytes(fleet, ControlMessage.KindCase.UPDATE));
        }
        Collections.sort(times);
        return new Result(
                seed,
                instances.size(),
                deadTenths,
                times.get(times.size() / 2),
                times.get(times.size() * 99 / 100),
                times.get(times.size() - 1),
                changes * fleet.live().size() - times.size(),
                idle,
                crossRegionBytesPerSecond,
                updates);
    }

    private static List<Double> publishAndMeasure(FakeFleet fleet, Document catalogue) {
        long published = fleet.mTicker.nanoTime();
        fleet.publish(FleetTestBase.CATALOGUE, catalogue);
        fleet.run(CHANGE_INTERVAL_MILLISECONDS);
        List<Double> times = new ArrayList<>();
        for (FakeNode node : fleet.live()) {
            Long at = node.mAppliedAtNanoseconds.get(catalogue.version());
            if (at != null) {
                times.add((at - published) / 1e9);
            }
        }
        return times;
    }

    private static void resetCounters(FakeFleet fleet) {
        fleet.mSentBytes = 0;
        fleet.mCrossRegionBytes.clear();
    }

    private static long crossRegionBytes(FakeFleet fleet, ControlMessage.KindCase kind) {
        return fleet.mCrossRegionBytes.getOrDefault(kind, 0L);
    }
}
