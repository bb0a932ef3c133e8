package org.foxtailmoor.standins.http;

import java.net.InetSocketAddress;
import java.util.Map;

/**
 * One request for an {@link HttpCaller} to send.
 *
 * @param address where to send it, resolved
 * @param method name of the method, in capitals
 * @param uri path and query
 * @param headers headers besides Host and Content-Length
 * @param body body, empty for none; not copied
 * @param timeoutMilliseconds time until the call fails and its connection closes, above 0
 */
public record OutgoingCall(
        InetSocketAddress address,
        String method,
        String uri,
        Map<String, String> headers,
        byte[] body,
        long timeoutMilliseconds) {
    private static final byte[] EMPTY_BODY = {};

    /** Returns a GET request without headers. */
    public static OutgoingCall get(InetSocketAddress address, String uri, long timeout) {
        return new OutgoingCall(address, "GET", uri, Map.of(), EMPTY_BODY, timeout);
    }
}
