package org.foxtailmoor.standins.target;

import java.util.Objects;

/**
 * Says how one target behaves. Each component is a member of the JSON object that the control port
 * takes, in snake case, for example {@code service_milliseconds}.
 *
 * @param slots requests that run at once, at least 1
 * @param queue requests that wait for a slot; more are shed with status 503; at least 0
 * @param serviceMilliseconds mean service time, at least 0
 * @param distribution how service times are spread around the mean
 * @param coldStartMilliseconds time after the start during which requests take longer, at least 0
 * @param coldStartFactor factor on service times right after the start, falling to 1; at least 1
 * @param draining whether new work gets status 503 and {@code Connection: close}
 * @param shedding whether all new work gets status 503
 * @param health what the health endpoint says
 * @param answerBytes size of answers that name no size, at least 1
 * @param recoveryMilliseconds time that the port stays closed after a crash, at least 0
 */
public record TargetBehaviour(
        int slots,
        int queue,
        double serviceMilliseconds,
        Distribution distribution,
        int coldStartMilliseconds,
        double coldStartFactor,
        boolean draining,
        boolean shedding,
        Health health,
        int answerBytes,
        int recoveryMilliseconds) {
    /** Spreads of service times. */
    public enum Distribution {
        /** Every request takes the mean. */
        CONSTANT,
        /** Exponential around the mean. */
        EXPONENTIAL,
        /** Log-normal around the mean, with a long tail. */
        LOG_NORMAL
    }

    /** What the health endpoint says. */
    public enum Health {
        /** The truth. */
        TRUTHFUL,
        /** Always up, also while draining or shedding. */
        ALWAYS_UP,
        /** Always down, also while serving. */
        ALWAYS_DOWN
    }

    /** Twenty slots, 5 ms exponential service time, no cold start and no fault. */
    public static final TargetBehaviour DEFAULT =
            new TargetBehaviour(
                    20,
                    20,
                    5,
                    Distribution.EXPONENTIAL,
                    0,
                    1,
                    false,
                    false,
                    Health.TRUTHFUL,
                    256,
                    1_000);

    /** Checks the ranges. */
    public TargetBehaviour {
        Objects.requireNonNull(distribution, "distribution");
        Objects.requireNonNull(health, "health");
        boolean valid =
                slots >= 1
                        && queue >= 0
                        && serviceMilliseconds >= 0
                        && coldStartMilliseconds >= 0
                        && coldStartFactor >= 1
                        && answerBytes >= 1
                        && recoveryMilliseconds >= 0;
        if (!valid) {
            throw new IllegalArgumentException("a number of the behaviour is out of range");
        }
    }
}
