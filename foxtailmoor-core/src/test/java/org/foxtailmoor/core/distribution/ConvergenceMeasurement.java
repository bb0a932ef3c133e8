package org.foxtailmoor.core.distribution;

import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.foxtailmoor.protocol.Document;
import org.foxtailmoor.protocol.generated.ControlMessage;
import org.foxtailmoor.protocol.generated.Instance;
import org.foxtailmoor.protocol.generated.Topic;

/**
 * Measures simulated convergence times and bytes at the target size under assumed delays: 0.5 ms
 * within a region, 30 ms between regions, 2 ms for the source. Arguments: seed, number of changes.
 */
public final class ConvergenceMeasurement {
    private static final int SERVICES = 190;
    private static final int PART_BYTES = 1_000;
    private static final int SPACING_MILLISECONDS = 12_000;

    private ConvergenceMeasurement() {}

    public static void main(String[] arguments) {
        long seed = arguments.length > 0 ? Long.parseLong(arguments[0]) : 1;
        int changes = arguments.length > 1 ? Integer.parseInt(arguments[1]) : 3;
        System.out.println("17 zones x 171 nodes, 6 regions, seed " + seed);
        for (int deadTenths : new int[] {0, 1, 3}) {
            measure(seed, deadTenths, changes);
        }
    }

    private static void measure(long seed, int deadTenths, int changes) {
        SplittableRandom random = new SplittableRandom(seed);
        List<String> regions = List.of(Fixtures.SOURCE_REGION, "r1", "r2", "r3", "r4", "r5");
        List<Instance> instances = Fixtures.instances(regions, 17, 171, SERVICES);
        Document catalogue = Fixtures.catalogue(1, SERVICES, PART_BYTES);
        FakeFleet fleet = FakeFleet.warm(random, instances, catalogue);
        for (FakeNode node : fleet.nodes()) {
            node.mDead = random.nextInt(10) < deadTenths;
        }
        fleet.run(20_000);
        fleet.mPolls = 0;
        fleet.mBytes = 0;
        fleet.mCrossBytes.clear();
        fleet.run(10_000);
        double idleBytes = fleet.mBytes / 10.0 / fleet.live().size();
        System.out.printf(
                "%d/10 dead: idle %.0f bytes/s sent per live node, %d polls in 10 s,"
                        + " across regions %s bytes/s, lease holders %d%n",
                deadTenths,
                idleBytes,
                fleet.mPolls,
                perSecond(fleet.mCrossBytes),
                fleet.live().stream().filter(FakeNode::holdsLease).count());
        List<Double> times = new ArrayList<>();
        List<Long> crossings = new ArrayList<>();
        int missing = 0;
        for (int change = 0; change < changes; change++) {
            catalogue = Fixtures.changed(catalogue, 2 + change, "s" + change, "owner" + change);
            long published = fleet.mTicker.nanoTime();
            fleet.mCrossBytes.clear();
            fleet.publish(Topic.TOPIC_CATALOGUE, catalogue);
            fleet.run(SPACING_MILLISECONDS);
            crossings.add(fleet.mCrossBytes.getOrDefault(ControlMessage.KindCase.UPDATE, 0L));
            for (FakeNode node : fleet.live()) {
                Long at = node.mInForceAt.get(catalogue.version());
                if (at == null) {
                    missing++;
                } else {
                    times.add((at - published) / 1e9);
                }
            }
        }
        Collections.sort(times);
        System.out.printf(
                "%d/10 dead: p50 %.3f s, p99 %.3f s, max %.3f s, missing %d after 12 s;"
                        + " update bytes across regions per change %s%n",
                deadTenths,
                times.get(times.size() / 2),
                times.get(times.size() * 99 / 100),
                times.get(times.size() - 1),
                missing,
                crossings);
    }

    private static Map<ControlMessage.KindCase, Long> perSecond(
            Map<ControlMessage.KindCase, Long> bytes) {
        Map<ControlMessage.KindCase, Long> rates = new EnumMap<>(ControlMessage.KindCase.class);
        bytes.forEach((kind, total) -> rates.put(kind, total / 10));
        return rates;
    }
}
