package org.foxtailmoor.node.platform;

import com.google.protobuf.ByteString;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Objects;

/**
 * A whole answer of the platform.
 *
 * @param status HTTP status
 * @param headers headers of the answer
 * @param body bytes of the body
 */
public record HttpAnswer(int status, HttpHeaders headers, ByteString body) {
    /** Checks that no component is null. */
    public HttpAnswer {
        Objects.requireNonNull(headers, "headers");
        Objects.requireNonNull(body, "body");
    }
}
