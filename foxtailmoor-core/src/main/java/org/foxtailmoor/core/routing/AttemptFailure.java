package org.foxtailmoor.core.routing;

import java.util.Objects;
import org.foxtailmoor.base.ErrorKind;

/**
 * Describes why an attempt at an upstream gave no answer.
 *
 * @param kind kind that the upstream answered, or that describes the lost attempt; not null
 * @param linkLost whether the link was lost after the request was sent
 * @param retryAfterMilliseconds time before the upstream wants another attempt, 0 if not stated
 */
public record AttemptFailure(ErrorKind kind, boolean linkLost, int retryAfterMilliseconds) {
    /** Checks that the kind is not null. */
    public AttemptFailure {
        Objects.requireNonNull(kind, "kind");
    }

    /**
     * Returns a failure by a refusal that the upstream sent.
     *
     * @param kind kind of the refusal, not null
     * @param retryAfterMilliseconds as stated by the upstream, 0 if not stated
     */
    public static AttemptFailure refused(ErrorKind kind, int retryAfterMilliseconds) {
        return new AttemptFailure(kind, false, retryAfterMilliseconds);
    }

    /** Returns a failure by the loss of the link after the request was sent. */
    public static AttemptFailure lostLink() {
        return new AttemptFailure(ErrorKind.UPSTREAM_FAILED, true, 0);
    }

    /** Returns a failure before any byte of the request was sent, such as a refused connection. */
    public static AttemptFailure notSent() {
        return new AttemptFailure(ErrorKind.NO_UPSTREAM, false, 0);
    }
}
