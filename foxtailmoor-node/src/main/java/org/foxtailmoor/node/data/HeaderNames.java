package org.foxtailmoor.node.data;

import io.netty.util.AsciiString;
import java.util.Objects;

/**
 * Names of the headers by which callers, nodes and targets tell each other about a request. A
 * deployment may prescribe its own.
 *
 * @param deadline time left for a request in milliseconds, from callers and to targets
 * @param requestId id of a caller's attempt, which targets repeat in their answers
 * @param callerService service of the instance where the request began; set by the entry
 * @param expectedInstance target that the entry chose, to targets
 * @param notExecuted present on answers of targets that did not run the request
 * @param fractionalRetryAfter whether Retry-After may have fractions of seconds
 */
public record HeaderNames(
        AsciiString deadline,
        AsciiString requestId,
        AsciiString callerService,
        AsciiString expectedInstance,
        AsciiString notExecuted,
        boolean fractionalRetryAfter) {
    /** Names of the product. */
    public static final HeaderNames PRODUCT =
            new HeaderNames(
                    HeaderFields.DEADLINE,
                    AsciiString.of("foxtailmoor-request-id"),
                    AsciiString.of("foxtailmoor-caller-service"),
                    AsciiString.of("foxtailmoor-expected-instance"),
                    AsciiString.of("foxtailmoor-not-executed"),
                    false);

    /** Checks that no name is null. */
    public HeaderNames {
        Objects.requireNonNull(deadline, "deadline");
        Objects.requireNonNull(requestId, "requestId");
        Objects.requireNonNull(callerService, "callerService");
        Objects.requireNonNull(expectedInstance, "expectedInstance");
        Objects.requireNonNull(notExecuted, "notExecuted");
    }
}
