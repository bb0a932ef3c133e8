package org.foxtailmoor.standins.http;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * A whole answer that an {@link HttpCaller} received.
 *
 * @param status HTTP status
 * @param headers headers, names compare without case
 * @param body body, empty if there is none
 */
public record HttpAnswer(int status, HttpHeaders headers, byte[] body) {
    /** Returns a header, or an empty text if it is absent. */
    public String header(String name) {
        return headers.get(name, "");
    }
}
