package org.foxtailmoor.core.routing;

import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Selects the upstream with the lowest cost: the expected latency, which consists of the round
 * trip, the service time and the queueing delay, plus a penalty for data transfer. Distance, speed
 * and load are all expressed as time, so that the local zone is preferred only while it is cheaper.
 * If the latency objective is known, expected latency counts by how much it endangers the
 * objective; see {@link LatencyRisk}. Confined to the data loop.
 *
 * <p>The service time is the usual one of the request's kind times the speed of the target, as its
 * home reports it and measured times correct it. The mean service time of the target depends on the
 * kinds that it happened to run, and is used for its queue only.
 *
 * <p>This balances the load when one zone gets a multiple of its usual traffic while targets in
 * other zones are idle, and when some targets become slow or refuse part of their requests.
 */
public final class ExpectedWaitBalancer implements Balancer {
    /** Assumed service time before the first measurement. */
    public static final long DEFAULT_SERVICE_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(60);

    /** Assumed round trip within a zone before the first measurement. */
    public static final long SAME_ZONE_ROUND_TRIP_NANOSECONDS = TimeUnit.MICROSECONDS.toNanos(200);

    /** Assumed round trip between zones of a region before the first measurement. */
    public static final long SAME_REGION_ROUND_TRIP_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(2);

    /** Assumed round trip between regions before the first measurement. */
    public static final long CROSS_REGION_ROUND_TRIP_NANOSECONDS =
            TimeUnit.MILLISECONDS.toNanos(60);

    /** Penalty per failed attempt in service times: the attempt itself and its retry. */
    private static final double FAILURE_PENALTY = 4;

    /** A target that has just started takes about twice its usual service time. */
    private static final double COLD_START_FACTOR = 2;

    /**
     * Penalty of a full target as a fraction of the service time. Targets slow down near their
     * limit, and load reports are already outdated when they are used.
     */
    private static final double CONGESTION_PENALTY = 0.5;

    /**
     * Penalty per kilobyte of request or response body sent between zones. Transfer between zones
     * is charged by volume. With a latency objective, the penalty is weighed against the time at
     * risk, so that small requests, whose headers are most of the volume, stay in their zone too.
     */
    private static final double CROSS_ZONE_NANOSECONDS_PER_KILOBYTE =
            TimeUnit.MILLISECONDS.toNanos(2);

    /**
     * Penalty per kilobyte sent between regions. The link costs about three times as much as one
     * between zones and has little bandwidth.
     */
    private static final double CROSS_REGION_NANOSECONDS_PER_KILOBYTE =
            TimeUnit.MILLISECONDS.toNanos(6);

    /** Size of the request and response headers. */
    private static final double HEADER_KILOBYTES = 1;

    private static final double BYTES_PER_KILOBYTE = 1_000;

    /**
     * Range of the random factor that prevents nodes with identical load reports from all selecting
     * the same upstream.
     */
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
     * @param table state of the upstreams
     * @param random random generator
     * @param region region of the entry node
     * @param zone zone of the entry node
     */
    public static ExpectedWaitBalancer of(
            UpstreamTable table, RandomGenerator random, String region, String zone) {
        return new ExpectedWaitBalancer(table, random, region, zone);
    }

    @Override
    public Upstream choose(PlacementQuery query) {
        Upstream chosen = lowestCost(query, false);
        return chosen == null ? lowestCost(query, true) : chosen;
    }

    private Upstream lowestCost(PlacementQuery query, boolean includeEjected) {
        long bodyBytes = query.bodyBytes();
        LatencyRisk risk = LatencyRisk.of(query.objectiveNanoseconds(), mRandom);
        Cheapest best = new Cheapest();
        Cheapest beyondBudget = new Cheapest();
        double usual = mTable.usualServiceNanoseconds(query.routeId());
        long now = mTable.nanoTime();
        for (Upstream upstream : query.service().upstreams()) {
            UpstreamRow row = mTable.row(upstream.id());
            boolean usable =
                    row != null
                            && !upstream.leaving()
                            && !row.mLeaving
                            && !row.isTargetDown(now)
                            && (includeEjected || isHealthy(row))
                            && query.permits(upstream);
            if (!usable) {
                continue;
            }
            double service = serviceNanoseconds(row, usual, now);
            double failures = row.mFailureShare * FAILURE_PENALTY * service;
            double expected = latencyNanoseconds(upstream, row, service, now) + failures;
            if (bodyBytes > LONG_BODY_BYTES) {
                long sinceReport = now - row.mReportedNanoseconds;
                expected += Math.max(0, row.mBodyWaitNanoseconds - sinceReport);
            }
            long linkWait = linkWaitNanoseconds(row, query, now);
            expected += linkWait;
            if (expected > query.limitNanoseconds()) {
                continue;
            }
            // Failures count in full: the time that is left does not make them good.
            double jitter = 1 + JITTER * mRandom.nextDouble();
            double cost = risk.cost((expected - failures) * jitter) + failures * jitter;
            cost += transferCost(upstream, bodyBytes);
            boolean exceedsBudget = linkWait > 0 && linkWait > query.objectiveNanoseconds();
            (exceedsBudget ? beyondBudget : best).offer(upstream, expected, cost);
        }
        return best.isPreferredTo(beyondBudget, query.deadlineNanoseconds())
                ? best.mUpstream
                : beyondBudget.mUpstream;
    }

    /** Upstream with the lowest cost among those offered. */
    private static final class Cheapest {
        private Upstream mUpstream;
        private double mExpected;
        private double mCost = Double.MAX_VALUE;

        void offer(Upstream upstream, double expected, double cost) {
            if (cost < mCost) {
                mUpstream = upstream;
                mExpected = expected;
                mCost = cost;
            }
        }

        /**
         * Returns whether this upstream takes precedence over one beyond its link's budget: always
         * if it exists, unless only the other one is expected to respond before the deadline.
         */
        boolean isPreferredTo(Cheapest other, long deadlineNanoseconds) {
            if (mUpstream == null || other.mUpstream == null) {
                return mUpstream != null;
            }
            return mExpected <= deadlineNanoseconds || other.mExpected > deadlineNanoseconds;
        }
    }

    /** Returns how long the bodies would wait for the link to the region of an upstream. */
    private static long linkWaitNanoseconds(UpstreamRow row, PlacementQuery query, long now) {
        boolean waits =
                row.mRegionLink != null
                        && query.objectiveNanoseconds() > 0
                        && query.bodyBytes() > LONG_BODY_BYTES;
        return waits ? row.mRegionLink.waitNanoseconds(now) : 0;
    }

    private static boolean isHealthy(UpstreamRow row) {
        return !row.mEjected
                && row.mLinkState != LinkState.FAILED
                && row.mLinkState != LinkState.DOUBTFUL;
    }

    /**
     * Returns the expected service time of a request.
     *
     * @param usualNanoseconds usual service time of its kind, 0 if unknown
     */
    private static double serviceNanoseconds(UpstreamRow row, double usualNanoseconds, long now) {
        if (usualNanoseconds <= 0) {
            return meanServiceNanoseconds(row, now);
        }
        double speed = row.workTimeRatio(now) * row.measuredCorrection(now);
        return usualNanoseconds * (isCold(row, now) ? Math.max(speed, COLD_START_FACTOR) : speed);
    }

    /** Returns the expected latency of one more request if it does not fail. */
    private double latencyNanoseconds(
            Upstream upstream, UpstreamRow row, double serviceNanoseconds, long now) {
        double utilization = row.load();
        double queued = Math.max(0, utilization * row.mSlots - row.mSlots + 1);
        double wait = queued * meanServiceNanoseconds(row, now) / row.mSlots;
        double congestion = CONGESTION_PENALTY * Math.min(1, utilization * utilization);
        return roundTrip(upstream, row) + wait + serviceNanoseconds * (1 + congestion);
    }

    private static double meanServiceNanoseconds(UpstreamRow row, long now) {
        double mean = row.mServiceNanoseconds;
        if (mean <= 0) {
            mean = row.mAssumedServiceNanoseconds;
        }
        return (mean > 0 ? mean : DEFAULT_SERVICE_NANOSECONDS)
                * (isCold(row, now) ? COLD_START_FACTOR : 1);
    }

    private static boolean isCold(UpstreamRow row, long now) {
        return now - row.mWarmUpEndNanoseconds < 0;
    }

    /** Returns the penalty for the data transfer in nanoseconds. */
    private double transferCost(Upstream upstream, long bodyBytes) {
        double kilobytes = HEADER_KILOBYTES + bodyBytes / BYTES_PER_KILOBYTE;
        if (!upstream.region().equals(mRegion)) {
            return kilobytes * CROSS_REGION_NANOSECONDS_PER_KILOBYTE;
        }
        return upstream.zone().equals(mZone) ? 0 : kilobytes * CROSS_ZONE_NANOSECONDS_PER_KILOBYTE;
    }

    private long roundTrip(Upstream upstream, UpstreamRow row) {
        if (row.mRoundTripNanoseconds > 0) {
            return row.mRoundTripNanoseconds;
        }
        if (upstream.zone().equals(mZone)) {
            return SAME_ZONE_ROUND_TRIP_NANOSECONDS;
        }
        return upstream.region().equals(mRegion)
                ? SAME_REGION_ROUND_TRIP_NANOSECONDS
                : CROSS_REGION_ROUND_TRIP_NANOSECONDS;
    }
}
