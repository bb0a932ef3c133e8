package org.foxtailmoor.core.routing;

import java.util.Objects;

/**
 * Attempt of a caller, which may be a retry of an earlier one. Times are ticker times.
 *
 * @param path path with query, not null
 * @param firstNanoseconds time of the caller's first attempt
 * @param deadlineNanoseconds time at which the caller gives up
 * @param arrivedNanoseconds time of this attempt
 * @param repeatNanoseconds time from which the caller was told to retry if this attempt was
 *     rejected
 * @param early whether this attempt is a retry before the time that the caller was told
 */
public record CallerAttempt(
        String path,
        long firstNanoseconds,
        long deadlineNanoseconds,
        long arrivedNanoseconds,
        long repeatNanoseconds,
        boolean early) {
    /** Checks that the path is not null. */
    public CallerAttempt {
        Objects.requireNonNull(path, "path");
    }

    /**
     * Returns the time until which a response is on time, counted from the first attempt. An early
     * retry is late from its arrival, so that it only gets slots that would otherwise be idle and
     * gains nothing over a caller that waited.
     *
     * @param durationNanoseconds latency objective of the route
     */
    public long objectiveNanoseconds(long durationNanoseconds) {
        long objective = firstNanoseconds + durationNanoseconds;
        return early && arrivedNanoseconds - objective < 0 ? arrivedNanoseconds : objective;
    }
}
