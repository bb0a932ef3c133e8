package org.foxtailmoor.core.routing;

import java.util.Collection;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Selects the upstream whose answer is expected first: round trip, mean time at the target, and the
 * wait behind the requests that it already has. Distance, speed and load are compared in one unit,
 * so that the own zone is preferred only as long as it is faster. Belongs to the data loop.
 *
 * <p>Load pattern: one zone gets a multiple of its usual traffic while the targets of other zones
 * are idle, or some targets turn slow or refuse part of their requests.
 */
public final class ExpectedWaitBalancer implements Balancer {
    /** Assumed time at a target before any answer was measured. */
    public static final long DEFAULT_SERVICE_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(60);

    /** Assumed round trips until the link has measured its own. */
    public static final long ZONE_ROUND_TRIP_NANOSECONDS = TimeUnit.MICROSECONDS.toNanos(200);

    /** See {@link #ZONE_ROUND_TRIP_NANOSECONDS}. */
    public static final long REGION_ROUND_TRIP_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(2);

    /** See {@link #ZONE_ROUND_TRIP_NANOSECONDS}. */
    public static final long FAR_ROUND_TRIP_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(60);

    /** Cost of a failed attempt in service times: the attempt itself and the one that follows. */
    private static final double FAILURE_COST = 4;

    /** A target that has just started takes about twice its usual time. */
    private static final double COLD_FACTOR = 2;

    /**
     * Part of the service time that a full target costs more than an idle one: targets slow down
     * near their limit, and a report of load is already old when it is used.
     */
    private static final double CONGESTION_COST = 0.5;

    /**
     * Wait that a kilobyte between zones is worth, in the body of a request or of its answer.
     * Transfer between zones is paid by volume; a photograph is placed in its own zone until the
     * wait there endangers its objective.
     */
    private static final double ZONE_NANOSECONDS_PER_KILOBYTE = TimeUnit.MILLISECONDS.toNanos(2);

    /** See above; the link between regions costs about three times as much and is narrow. */
    private static final double REGION_NANOSECONDS_PER_KILOBYTE = TimeUnit.MILLISECONDS.toNanos(6);

    /** Heads of a request and its answer. */
    private static final double FIXED_KILOBYTES = 1;

    private static final double BYTES_PER_KILOBYTE = 1_000;

    /** Spread of the random factor that keeps nodes with equal reports from the same choice. */
    private static final double JITTER = 0.1;

    private final UpstreamTable mTable;
    private final RandomGenerator mRandom;
    private final String mRegion;
    private final String mZone;

    private ExpectedWaitBalancer(
            UpstreamTable table, RandomGenerator random, String region, String zone) {
        mTable = Objects.requireNonNull(table, "table");
        mRandom = Objects.requireNonNull(random, "random");
        mRegion = Objects.requireNonNull(region, "region");
        mZone = Objects.requireNonNull(zone, "zone");
    }

    /**
     * Creates a balancer; no argument may be null.
     *
     * @param table what the entry knows about upstreams
     * @param random source of randomness
     * @param region region of the entry
     * @param zone zone of the entry
     */
    public static ExpectedWaitBalancer of(
            UpstreamTable table, RandomGenerator random, String region, String zone) {
        return new ExpectedWaitBalancer(table, random, region, zone);
    }

    @Override
    public Upstream choose(
            RoutingSnapshot snapshot,
            ServiceView service,
            Collection<String> excluded,
            long bodyBytes,
            long limitNanoseconds) {
        Upstream chosen = cheapest(service, excluded, bodyBytes, limitNanoseconds, false);
        return chosen == null
                ? cheapest(service, excluded, bodyBytes, limitNanoseconds, true)
                : chosen;
    }

    private Upstream cheapest(
            ServiceView service,
            Collection<String> excluded,
            long bodyBytes,
            long limitNanoseconds,
            boolean withAvoided) {
        Upstream best = null;
        double bestCost = Double.MAX_VALUE;
        for (Upstream upstream : service.upstreams()) {
            UpstreamRow row = mTable.row(upstream.id());
            boolean usable =
                    row != null
                            && !upstream.leaving()
                            && !row.mLeaving
                            && (withAvoided || isReachable(row))
                            && !excluded.contains(upstream.id());
            if (!usable) {
                continue;
            }
            double expected = expectedNanoseconds(upstream, row);
            if (expected > limitNanoseconds) {
                continue;
            }
            double cost = expected * (1 + JITTER * mRandom.nextDouble());
            cost += transferCost(upstream, bodyBytes);
            if (cost < bestCost) {
                best = upstream;
                bestCost = cost;
            }
        }
        return best;
    }

    private static boolean isReachable(UpstreamRow row) {
        return !row.mAvoided
                && row.mLinkState != LinkState.FAILED
                && row.mLinkState != LinkState.DOUBTFUL;
    }

    /** Returns the time until the answer of one more request, in nanoseconds. */
    private double expectedNanoseconds(Upstream upstream, UpstreamRow row) {
        double service =
                row.mServiceNanoseconds > 0 ? row.mServiceNanoseconds : DEFAULT_SERVICE_NANOSECONDS;
        if (mTable.nanoTime() - row.mWarmNanoseconds < 0) {
            service *= COLD_FACTOR;
        }
        double utilization = row.load();
        double queued = Math.max(0, utilization * row.mSlots - row.mSlots + 1);
        double wait = queued * service / row.mSlots;
        double congestion = CONGESTION_COST * Math.min(1, utilization * utilization);
        double failures = row.mFailureShare * FAILURE_COST;
        return roundTrip(upstream, row) + wait + service * (1 + congestion + failures);
    }

    /** Returns what the way of the bodies costs, in nanoseconds of wait that it is worth. */
    private double transferCost(Upstream upstream, long bodyBytes) {
        double kilobytes = FIXED_KILOBYTES + bodyBytes / BYTES_PER_KILOBYTE;
        if (!upstream.region().equals(mRegion)) {
            return kilobytes * REGION_NANOSECONDS_PER_KILOBYTE;
        }
        return upstream.zone().equals(mZone) ? 0 : kilobytes * ZONE_NANOSECONDS_PER_KILOBYTE;
    }

    private long roundTrip(Upstream upstream, UpstreamRow row) {
        if (row.mRoundTripNanoseconds > 0) {
            return row.mRoundTripNanoseconds;
        }
        if (upstream.zone().equals(mZone)) {
            return ZONE_ROUND_TRIP_NANOSECONDS;
        }
        return upstream.region().equals(mRegion)
                ? REGION_ROUND_TRIP_NANOSECONDS
                : FAR_ROUND_TRIP_NANOSECONDS;
    }
}
