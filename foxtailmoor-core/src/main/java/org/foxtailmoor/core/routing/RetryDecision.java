package org.foxtailmoor.core.routing;

import java.util.Objects;
import org.foxtailmoor.base.ErrorKind;

/**
 * Says what follows a failed attempt: another attempt after a backoff, or an answer to the caller.
 *
 * @param answer kind of the error answer, or null if the request is attempted again
 * @param delayNanoseconds time until the next attempt, at least 0; 0 with an answer
 * @param retryAfterMilliseconds time to state in the answer, 0 if not stated
 */
public record RetryDecision(ErrorKind answer, long delayNanoseconds, int retryAfterMilliseconds) {
    /** Returns a decision to attempt the request again after a delay of at least 0. */
    public static RetryDecision retryAfter(long delayNanoseconds) {
        return new RetryDecision(null, delayNanoseconds, 0);
    }

    /**
     * Returns a decision to answer the caller.
     *
     * @param kind kind of the answer, not null
     * @param retryAfterMilliseconds time to state in the answer, 0 if not stated
     */
    public static RetryDecision answer(ErrorKind kind, int retryAfterMilliseconds) {
        return new RetryDecision(Objects.requireNonNull(kind, "kind"), 0, retryAfterMilliseconds);
    }

    /** Returns whether the request is attempted again. */
    public boolean isRetry() {
        return answer == null;
    }
}
