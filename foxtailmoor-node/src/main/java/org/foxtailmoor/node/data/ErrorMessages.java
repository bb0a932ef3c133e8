package org.foxtailmoor.node.data;

import org.foxtailmoor.base.ErrorKind;

/** Default error messages for callers. */
final class ErrorMessages {
    private ErrorMessages() {}

    /** Returns the message for an error kind. */
    static String of(ErrorKind kind) {
        return switch (kind) {
            case BAD_REQUEST -> "the request is malformed";
            case KEY_REQUIRED -> "the route requires the header Idempotency-Key";
            case KEY_INVALID ->
                    "the header Idempotency-Key must be a UUIDv7 that is not from the future";
            case NO_ROUTE -> "no route matches the method and path";
            case BODY_TOO_LARGE -> "the body exceeds the limit of the route";
            case POISONED -> "the same request crashed its target repeatedly and is refused";
            case QUARANTINED -> "the same request crashed several targets and is refused";
            case RATE_LIMITED -> "the limit of the route is used up";
            case NOT_READY -> "the node has not finished its start";
            case OVERLOADED -> "the slots, queues or body memory are full";
            case LEAVING -> "the upstream is leaving and takes no new work";
            case NO_UPSTREAM -> "no live upstream of the service is reachable";
            case HOME_UNAVAILABLE -> "the home of the idempotency key may not run it now";
            case DEADLINE_BEFORE_RUN -> "the deadline would pass before the request could run";
            case DEADLINE_EXCEEDED -> "the deadline passed after the request was handed over";
            case UPSTREAM_FAILED -> "the target failed after the request was handed over";
            case OUTCOME_UNKNOWN -> "it is not known whether the request ran";
            case ALREADY_RUN -> "the request has run and its answer is not held any more";
            case CANCELLED -> "the caller cancelled the request";
            default -> "a fault inside foxtailmoor";
        };
    }
}
