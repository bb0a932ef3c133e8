package org.foxtailmoor.node.data;

import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.protocol.generated.RequestStart;

/**
 * Request as received by its home node.
 *
 * @param start request line, headers and routing data
 * @param body complete body; ownership passes with the call
 * @param deadlineNanoseconds deadline as ticker time of the node
 */
record HomeCall(RequestStart start, BufferedBody body, long deadlineNanoseconds) {
    HomeCall {
        Objects.requireNonNull(start, "start");
        Objects.requireNonNull(body, "body");
    }

    /** Returns the latency objective as ticker time, at most the deadline. */
    long objectiveNanoseconds() {
        long graceMilliseconds =
                Integer.toUnsignedLong(start.getDeadlineMilliseconds())
                        - start.getLatencyObjectiveMilliseconds();
        return deadlineNanoseconds - TimeUnit.MILLISECONDS.toNanos(Math.max(0, graceMilliseconds));
    }
}
