package org.foxtailmoor.core.routing;

import java.util.Objects;
import org.foxtailmoor.base.ErrorKind;

/**
 * Reason why an attempt at an upstream produced no response.
 *
 * @param kind kind returned by the upstream or derived from the connection failure; not null
 * @param linkLost whether the link was lost after the request was sent
 * @param retryAfterMilliseconds minimum delay that the upstream asks for, 0 if not stated
 */
public record AttemptFailure(ErrorKind kind, boolean linkLost, int retryAfterMilliseconds) {
    /** Checks that the kind is not null. */
    public AttemptFailure {
        Objects.requireNonNull(kind, "kind");
    }

    /**
     * Returns a failure for a refusal sent by the upstream.
     *
     * @param kind kind of the refusal, not null
     * @param retryAfterMilliseconds as stated by the upstream, 0 if not stated
     */
    public static AttemptFailure refused(ErrorKind kind, int retryAfterMilliseconds) {
        return new AttemptFailure(kind, false, retryAfterMilliseconds);
    }

    /** Returns a failure for a link that was lost after the request was sent. */
    public static AttemptFailure lostLink() {
        return new AttemptFailure(ErrorKind.UPSTREAM_FAILED, true, 0);
    }

    /** Returns a failure before any byte was sent, such as a refused connection. */
    public static AttemptFailure notSent() {
        return new AttemptFailure(ErrorKind.NO_UPSTREAM, false, 0);
    }
}
