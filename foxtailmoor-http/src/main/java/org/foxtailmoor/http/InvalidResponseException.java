package org.foxtailmoor.http;

import io.netty.handler.codec.DecoderException;

/** Thrown when the bytes of a peer are not a valid HTTP/1.1 response. */
public final class InvalidResponseException extends DecoderException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message the rule that the response violates
     */
    public InvalidResponseException(String message) {
        super(message);
    }
}
