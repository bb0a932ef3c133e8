package org.foxtailmoor.node.data;

import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.protocol.generated.RequestStart;

/**
 * Request as it reaches its home.
 *
 * @param start request line, headers and routing facts
 * @param body whole body; whoever is given the call owns it
 * @param deadlineNanoseconds deadline by the node's ticker
 */
record HomeCall(RequestStart start, HeldBody body, long deadlineNanoseconds) {
    HomeCall {
        Objects.requireNonNull(start, "start");
        Objects.requireNonNull(body, "body");
    }

    /** Returns the ticker time until which an answer is on time, at most the deadline. */
    long objectiveNanoseconds() {
        long between =
                Integer.toUnsignedLong(start.getDeadlineMilliseconds())
                        - start.getLatencyObjectiveMilliseconds();
        return deadlineNanoseconds - TimeUnit.MILLISECONDS.toNanos(Math.max(0, between));
    }
}
