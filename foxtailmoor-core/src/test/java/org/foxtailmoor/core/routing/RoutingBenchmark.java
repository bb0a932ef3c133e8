package org.foxtailmoor.core.routing;

import io.netty.util.concurrent.Ticker;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.function.IntConsumer;
import org.foxtailmoor.protocol.generated.Load;

/**
 * Measures the time of routing decisions, table updates and snapshot builds in a plain loop after a
 * warm-up. Not run by the build; run {@link #main} with the test class path.
 */
public final class RoutingBenchmark {
    private static final int ROUNDS = 5;

    private final UpstreamTable mTable = UpstreamTable.of(Ticker.systemTicker());
    private final RoutingSnapshotBuilder mBuilder = new RoutingSnapshotBuilder();
    private final RoutingSnapshot mSnapshot;
    private final String[] mPaths;
    private final EntryDecisions mDecisions;
    private long mSink;

    private RoutingBenchmark(int upstreams, int services) {
        for (int i = 0; i < services; i++) {
            mBuilder.service("s" + i, 20).route("r" + i, "s" + i, "GET", "/s" + i + "/v1", true);
        }
        for (int i = 0; i < upstreams; i++) {
            mBuilder.upstreams("s" + i % services, "doo", "zone-" + i / services % 3, "u" + i);
        }
        mSnapshot = mBuilder.build(1, 1);
        mPaths = new String[services];
        for (int i = 0; i < services; i++) {
            mPaths[i] = "/s" + i + "/v1/items/17?x=1";
        }
        mTable.update(mSnapshot);
        Random random = new Random(1);
        for (int i = 0; i < upstreams; i++) {
            Load.Builder load = Load.newBuilder().setSlots(20);
            mTable.reportLoad("u" + i, load.setRunning(random.nextInt(20)).build());
        }
        PowerOfTwoChoicesBalancer balancer =
                PowerOfTwoChoicesBalancer.of(mTable, new SplittableRandom(2), "doo", "zone-0");
        mDecisions =
                EntryDecisions.of(
                        EpochClock.of(Ticker.systemTicker(), 0),
                        mTable,
                        balancer,
                        BudgetedRetryPolicy.of(Ticker.systemTicker(), new SplittableRandom(3)));
    }

    /** Prints nanoseconds per operation for several fleet sizes. */
    public static void main(String[] arguments) {
        int[][] sizes = {{10, 1}, {100, 10}, {1_000, 65}, {2_900, 190}, {2_900, 1}};
        for (int[] size : sizes) {
            RoutingBenchmark benchmark = new RoutingBenchmark(size[0], size[1]);
            System.out.printf(
                    "upstreams %5d services %3d: decision %6.0f ns, keyed %6.0f ns,"
                            + " run of systems %8.0f ns, snapshot and table %10.0f ns (%d)%n",
                    size[0],
                    size[1],
                    benchmark.measure(200_000, i -> benchmark.decide(i, null)),
                    benchmark.measure(
                            Math.max(500, 2_000_000 / (1 + size[0] / size[1])),
                            i -> benchmark.decide(i, "00000000-0000-7000-8000-000000000000")),
                    benchmark.measure(
                            2_000_000 / size[0],
                            i -> benchmark.mTable.runSystems(System.nanoTime())),
                    benchmark.measure(200_000 / size[0], benchmark::rebuild),
                    benchmark.mSink % 10);
        }
    }

    private void decide(int i, String key) {
        String path = mPaths[i % mPaths.length];
        EntryRequest request = mDecisions.begin(mSnapshot, "", "GET", path, key, 0, 0).value();
        Upstream upstream = mDecisions.choose(request).value();
        mDecisions.afterResponse(request, upstream, 200);
        mSink += upstream.nodePort() + upstream.id().length();
    }

    private void rebuild(int i) {
        UpstreamTable table = UpstreamTable.of(Ticker.systemTicker());
        table.update(mBuilder.build(1, i + 2));
        mSink += table.size();
    }

    /** Returns the lowest mean of several rounds in nanoseconds, after two rounds of warm-up. */
    private double measure(int times, IntConsumer operation) {
        double best = Double.MAX_VALUE;
        for (int round = -2; round < ROUNDS; round++) {
            long start = System.nanoTime();
            for (int i = 0; i < times; i++) {
                operation.accept(i);
            }
            double mean = (double) (System.nanoTime() - start) / times;
            best = round < 0 ? best : Math.min(best, mean);
        }
        return best;
    }
}
