package org.foxtailmoor.core.routing;

import java.util.random.RandomGenerator;

/**
 * Cost of an expected latency, by how much it endangers the latency objective of a request. Well
 * within the objective, a shorter latency is hardly worth a transfer to another zone; close to the
 * objective, it is worth several times its duration. Immutable.
 *
 * <p>Transfer between zones is charged by volume and small requests are the bulk of it. If each
 * millisecond counted the same, a request would leave its zone whenever a target elsewhere is a
 * little less busy.
 */
final class LatencyRisk {
    /** Cost without an objective: the latency itself. */
    private static final LatencyRisk PLAIN = new LatencyRisk(0, 0);

    /**
     * Part of the objective up to which latency costs little. Homes refuse requests whose wait
     * leaves less than two service times until the objective, and load reports are up to 400 ms
     * old, so that placement must react well before that.
     */
    private static final double SAFE_RATIO = 0.3;

    /**
     * Range of a random addition to the safe ratio. Each request has its own, so that the share
     * that leaves a busy zone grows steadily and nodes do not all switch at the same time.
     */
    private static final double SAFE_RATIO_RANGE = 0.15;

    /** Part of the objective from which a request is likely to be late. */
    private static final double CRITICAL_RATIO = 0.8;

    /**
     * Weight of latency in the safe part, which still orders the targets of one zone. A saving of
     * 150 ms is then worth 1.5 ms, less than the transfer of the headers between zones.
     */
    private static final double SAFE_WEIGHT = 0.01;

    /** Additional weight in the critical part, where time decides about the request's success. */
    private static final double CRITICAL_WEIGHT = 4;

    private final double mSafeNanoseconds;
    private final double mCriticalNanoseconds;

    private LatencyRisk(double safeNanoseconds, double criticalNanoseconds) {
        mSafeNanoseconds = safeNanoseconds;
        mCriticalNanoseconds = criticalNanoseconds;
    }

    /**
     * Creates the cost function of one request.
     *
     * @param objectiveNanoseconds time left until the objective, 0 if there is none
     * @param random random generator, not null
     */
    static LatencyRisk of(long objectiveNanoseconds, RandomGenerator random) {
        if (objectiveNanoseconds <= 0) {
            return PLAIN;
        }
        double safe = SAFE_RATIO + SAFE_RATIO_RANGE * random.nextDouble();
        return new LatencyRisk(safe * objectiveNanoseconds, CRITICAL_RATIO * objectiveNanoseconds);
    }

    /** Returns the cost of an expected latency in nanoseconds; it grows with the latency. */
    double cost(double expectedNanoseconds) {
        if (this == PLAIN) {
            return expectedNanoseconds;
        }
        double safe = Math.min(expectedNanoseconds, mSafeNanoseconds);
        double critical = Math.max(0, expectedNanoseconds - mCriticalNanoseconds);
        return safe * SAFE_WEIGHT + (expectedNanoseconds - safe) + critical * CRITICAL_WEIGHT;
    }
}
