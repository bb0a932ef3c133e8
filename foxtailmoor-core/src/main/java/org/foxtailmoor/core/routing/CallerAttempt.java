package org.foxtailmoor.core.routing;

import java.util.Objects;

/**
 * One attempt of a caller, with what is known about its earlier ones.
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
