package org.foxtailmoor.standins.platform;

/**
 * Faults that the platform stand-in shows to readers. Each is a member of the JSON object that the
 * control port takes, in snake case, for example {@code values_outage}.
 *
 * @param valuesOutage whether reads of values answer 503
 * @param instancesOutage whether reads of the instance list answer 503
 * @param valuesStale whether readers see only values published before this was set
 * @param instancesStale whether readers see only lists published before this was set
 * @param valuesOlder publications that each value goes back, from 0
 * @param instancesOlder publications that the list goes back, from 0
 * @param instancesLagMilliseconds time until a published list becomes visible, from 0
 * @param answerDelayMilliseconds time by which every answer to a reader is held back, from 0
 */
public record PlatformFaults(
        boolean valuesOutage,
        boolean instancesOutage,
        boolean valuesStale,
        boolean instancesStale,
        int valuesOlder,
        int instancesOlder,
        int instancesLagMilliseconds,
        int answerDelayMilliseconds) {
    /** No fault. */
    public static final PlatformFaults NONE =
            new PlatformFaults(false, false, false, false, 0, 0, 0, 0);

    /** Checks the ranges. */
    public PlatformFaults {
        if (Math.min(valuesOlder, instancesOlder) < 0
                || Math.min(instancesLagMilliseconds, answerDelayMilliseconds) < 0) {
            throw new IllegalArgumentException("numbers must be at least 0");
        }
    }
}
