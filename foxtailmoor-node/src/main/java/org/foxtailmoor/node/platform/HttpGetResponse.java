package org.foxtailmoor.node.platform;

import com.google.protobuf.ByteString;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Objects;

/**
 * Complete response of the platform to a GET request.
 *
 * @param status HTTP status code
 * @param headers response headers
 * @param body response body
 */
public record HttpGetResponse(int status, HttpHeaders headers, ByteString body) {
    /** Checks that the headers and the body are not null. */
    public HttpGetResponse {
        Objects.requireNonNull(headers, "headers");
        Objects.requireNonNull(body, "body");
    }
}
