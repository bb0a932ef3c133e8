package org.foxtailmoor.node.data;

import java.util.List;
import java.util.Objects;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.protocol.generated.CrashCount;
import org.foxtailmoor.protocol.generated.Header;

/** Result of a request: a complete answer of the target, or an error. */
public sealed interface Outcome {
    /**
     * Complete answer of a target.
     *
     * @param status HTTP status, 200 to 599
     * @param headers end-to-end headers
     * @param body complete body; the receiver of the answer owns one reference
     * @param replayed whether the answer is a stored one, replayed for an idempotency key
     * @param targetMicroseconds time at the target, 0 if not stated
     */
    record Answer(
            int status,
            List<Header> headers,
            BufferedBody body,
            boolean replayed,
            int targetMicroseconds)
            implements Outcome {
        /** Checks that no component is null. */
        public Answer {
            Objects.requireNonNull(headers, "headers");
            Objects.requireNonNull(body, "body");
        }

        /** Creates an answer that does not state the time at the target. */
        public Answer(int status, List<Header> headers, BufferedBody body, boolean replayed) {
            this(status, headers, body, replayed, 0);
        }

        /** Returns this answer with the time at the target. */
        public Answer withTargetMicroseconds(int microseconds) {
            return new Answer(status, headers, body, replayed, microseconds);
        }

        @Override
        public void release() {
            body.release();
        }
    }

    /**
     * Error instead of an answer.
     *
     * @param kind kind of the error
     * @param message human-readable description
     * @param retryAfterMilliseconds delay before a retry, 0 if unknown
     * @param crashCounts crash counts of the request known to its home, which the next home needs
     */
    record Failure(
            ErrorKind kind,
            String message,
            int retryAfterMilliseconds,
            List<CrashCount> crashCounts)
            implements Outcome {
        /** Checks that no component is null. */
        public Failure {
            Objects.requireNonNull(kind, "kind");
            Objects.requireNonNull(message, "message");
            Objects.requireNonNull(crashCounts, "crashCounts");
        }

        /** Creates a failure of a request without known crashes. */
        public Failure(ErrorKind kind, String message, int retryAfterMilliseconds) {
            this(kind, message, retryAfterMilliseconds, List.of());
        }

        /** Creates a failure without a retry delay. */
        public static Failure of(ErrorKind kind, String message) {
            return new Failure(kind, message, 0);
        }

        @Override
        public void release() {
            // A failure holds no body.
        }
    }

    /** Releases the body, if any. */
    void release();
}
