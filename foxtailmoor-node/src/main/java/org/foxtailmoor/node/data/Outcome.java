package org.foxtailmoor.node.data;

import java.util.List;
import java.util.Objects;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.protocol.generated.Header;

/** How a request ended: with a whole answer of the target or with an error. */
public sealed interface Outcome {
    /**
     * Whole answer of a target.
     *
     * @param status HTTP status, 200 to 599
     * @param headers headers that concern the answer itself, without those of the connection
     * @param body whole body; whoever is given the answer owns one reference to it
     * @param replayed whether the answer comes from the home's memory of an idempotency key
     */
    record Answer(int status, List<Header> headers, HeldBody body, boolean replayed)
            implements Outcome {
        /** Checks that no component is null. */
        public Answer {
            Objects.requireNonNull(headers, "headers");
            Objects.requireNonNull(body, "body");
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
     * @param message what happened, for people
     * @param retryAfterMilliseconds when to come back, 0 if that is not known
     */
    record Failure(ErrorKind kind, String message, int retryAfterMilliseconds) implements Outcome {
        /** Checks that no component is null. */
        public Failure {
            Objects.requireNonNull(kind, "kind");
            Objects.requireNonNull(message, "message");
        }

        /** Creates a failure without a time to come back. */
        public static Failure of(ErrorKind kind, String message) {
            return new Failure(kind, message, 0);
        }

        @Override
        public void release() {
            // A failure holds no body.
        }
    }

    /** Releases the body, if there is one. */
    void release();
}
