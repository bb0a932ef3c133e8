package org.foxtailmoor.standins.target;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/** Draws service times. */
final class ServiceTimes {
    /** Standard deviation of the logarithm; the 99th percentile is about 6 times the mean. */
    private static final double LOG_DEVIATION = 1.0;

    private ServiceTimes() {}

    /**
     * Returns a service time in nanoseconds.
     *
     * @param behaviour mean, distribution and cold start
     * @param ageNanoseconds time since the target started
     * @param random source of random numbers
     */
    static long draw(TargetBehaviour behaviour, long ageNanoseconds, RandomGenerator random) {
        double milliseconds =
                behaviour.serviceMilliseconds()
                        * spread(behaviour.distribution(), random)
                        * coldStartFactor(behaviour, ageNanoseconds);
        return (long) (milliseconds * TimeUnit.MILLISECONDS.toNanos(1));
    }

    private static double spread(
            TargetBehaviour.Distribution distribution, RandomGenerator random) {
        return switch (distribution) {
            case CONSTANT -> 1;
            case EXPONENTIAL -> -Math.log(1 - random.nextDouble());
            // Subtracting half the variance gives the factor a mean of 1.
            case LOG_NORMAL ->
                    Math.exp(
                            LOG_DEVIATION * random.nextGaussian()
                                    - LOG_DEVIATION * LOG_DEVIATION / 2);
        };
    }

    private static double coldStartFactor(TargetBehaviour behaviour, long ageNanoseconds) {
        double duration = TimeUnit.MILLISECONDS.toNanos(behaviour.coldStartMilliseconds());
        if (ageNanoseconds >= duration) {
            return 1;
        }
        double remaining = 1 - ageNanoseconds / duration;
        return 1 + (behaviour.coldStartFactor() - 1) * remaining;
    }
}
