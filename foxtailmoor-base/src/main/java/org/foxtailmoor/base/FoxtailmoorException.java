package org.foxtailmoor.base;

import java.util.Objects;

/**
 * Carries an {@link ErrorKind} and a human-readable message. Asynchronous interfaces fail their
 * {@link java.util.concurrent.CompletableFuture} with it.
 */
public final class FoxtailmoorException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorKind mKind;

    private FoxtailmoorException(ErrorKind kind, String message, Throwable cause) {
        super(message, cause);
        mKind = Objects.requireNonNull(kind, "kind");
    }

    /**
     * Creates an exception.
     *
     * @param kind kind of the error, not null
     * @param message what happened and, where possible, what to do
     */
    public static FoxtailmoorException of(ErrorKind kind, String message) {
        return new FoxtailmoorException(kind, message, null);
    }

    /**
     * Creates an exception with a cause.
     *
     * @param kind kind of the error, not null
     * @param message what happened and, where possible, what to do
     * @param cause underlying failure, may be null
     */
    public static FoxtailmoorException of(ErrorKind kind, String message, Throwable cause) {
        return new FoxtailmoorException(kind, message, cause);
    }

    /** Returns the kind of the error, never null. */
    public ErrorKind kind() {
        return mKind;
    }
}
