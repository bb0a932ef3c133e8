package org.foxtailmoor.core.routing;

import java.util.Objects;
import org.foxtailmoor.base.ErrorKind;

/**
 * Action after a failed attempt: either a retry after a delay or an error response to the caller.
 *
 * @param error kind of the error response, or null if the request is retried
 * @param delayNanoseconds time until the next attempt, at least 0; 0 without a retry
 * @param retryAfterMilliseconds retry delay to report to the caller, 0 if not stated
 */
public record RetryDecision(ErrorKind error, long delayNanoseconds, int retryAfterMilliseconds) {
    /** Returns a decision to retry after a delay of at least 0. */
    public static RetryDecision retryAfter(long delayNanoseconds) {
        return new RetryDecision(null, delayNanoseconds, 0);
    }

    /**
     * Returns a decision to send an error response.
     *
     * @param kind kind of the error, not null
     * @param retryAfterMilliseconds retry delay to report to the caller, 0 if not stated
     */
    public static RetryDecision fail(ErrorKind kind, int retryAfterMilliseconds) {
        return new RetryDecision(Objects.requireNonNull(kind, "kind"), 0, retryAfterMilliseconds);
    }

    /** Returns whether the request is retried. */
    public boolean isRetry() {
        return error == null;
    }
}
