package org.foxtailmoor.core.routing;

import java.util.Objects;

/**
 * Attempt of a caller, which may be a retry of an earlier one.
 *
 * @param path path with query, not null
 * @param firstNanoseconds ticker time of the caller's first attempt
 * @param deadlineNanoseconds ticker time at which the caller gives up
 */
public record CallerAttempt(String path, long firstNanoseconds, long deadlineNanoseconds) {
    /** Checks that the path is not null. */
    public CallerAttempt {
        Objects.requireNonNull(path, "path");
    }
}
