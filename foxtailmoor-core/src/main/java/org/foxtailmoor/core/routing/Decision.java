package org.foxtailmoor.core.routing;

import java.util.Objects;
import org.foxtailmoor.base.ErrorKind;

/**
 * Result of a routing decision: either a value or the kind of the refusal.
 *
 * @param value value, null if and only if the request is refused
 * @param refusal kind of the refusal, null if the request is not refused
 * @param <T> type of the value
 */
public record Decision<T>(T value, ErrorKind refusal) {
    /** Returns a decision with a value, which must not be null. */
    public static <T> Decision<T> of(T value) {
        return new Decision<>(Objects.requireNonNull(value, "value"), null);
    }

    /** Returns a refusal of a kind, which must not be null. */
    public static <T> Decision<T> refused(ErrorKind kind) {
        return new Decision<>(null, Objects.requireNonNull(kind, "kind"));
    }

    /** Returns whether the request is refused. */
    public boolean isRefused() {
        return refusal != null;
    }
}
