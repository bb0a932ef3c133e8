package org.foxtailmoor.node.data;

import io.netty.util.AsciiString;
import java.util.Objects;

/**
 * Names of the headers that callers, nodes and targets use to pass request metadata; configurable
 * per deployment.
 *
 * @param deadline remaining time in milliseconds, on requests from callers and to targets
 * @param requestId id of a caller's attempt, echoed by targets in their answers
 * @param callerService service of the instance where the request originated; set by the entry node
 * @param expectedInstance target chosen by the entry node, on requests to targets
 * @param notExecuted present on answers from targets that did not run the request
 * @param signature present on each successful answer of a target; empty if targets do not sign
 * @param targetLoad load of the target on its responses; empty if targets do not state it
 * @param targetInstance id of the target on responses of its health check; empty if not stated
 * @param warmUp remaining warm-up time in milliseconds on responses of the target's health check;
 *     empty if targets do not state it
 * @param fractionalRetryAfter whether Retry-After may contain fractional seconds
 */
public record HeaderNames(
        AsciiString deadline,
        AsciiString requestId,
        AsciiString callerService,
        AsciiString expectedInstance,
        AsciiString notExecuted,
        AsciiString signature,
        AsciiString targetLoad,
        AsciiString targetInstance,
        AsciiString warmUp,
        boolean fractionalRetryAfter) {
    /** Default names of the product. */
    public static final HeaderNames DEFAULT =
            new HeaderNames(
                    HeaderFields.DEADLINE,
                    AsciiString.of("foxtailmoor-request-id"),
                    AsciiString.of("foxtailmoor-caller-service"),
                    AsciiString.of("foxtailmoor-expected-instance"),
                    AsciiString.of("foxtailmoor-not-executed"),
                    AsciiString.EMPTY_STRING,
                    AsciiString.EMPTY_STRING,
                    AsciiString.EMPTY_STRING,
                    AsciiString.EMPTY_STRING,
                    false);

    /** Checks that no name is null. */
    public HeaderNames {
        Objects.requireNonNull(deadline, "deadline");
        Objects.requireNonNull(requestId, "requestId");
        Objects.requireNonNull(callerService, "callerService");
        Objects.requireNonNull(expectedInstance, "expectedInstance");
        Objects.requireNonNull(notExecuted, "notExecuted");
        Objects.requireNonNull(signature, "signature");
        Objects.requireNonNull(targetLoad, "targetLoad");
        Objects.requireNonNull(targetInstance, "targetInstance");
        Objects.requireNonNull(warmUp, "warmUp");
    }
}
