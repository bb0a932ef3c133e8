package org.foxtailmoor.node.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.protobuf.ByteString;
import java.util.Objects;

/**
 * Response of the admin port.
 *
 * @param status HTTP status code
 * @param contentType media type of the body, not null
 * @param body response body, not null
 * @param persistent whether the connection stays open for the next request
 */
public record AdminResponse(int status, String contentType, ByteString body, boolean persistent) {
    /** Content type of JSON bodies. */
    public static final String CONTENT_TYPE_JSON = "application/json";

    /** Checks that the content type and the body are not null. */
    public AdminResponse {
        Objects.requireNonNull(contentType, "contentType");
        Objects.requireNonNull(body, "body");
    }

    /** Creates a response with a text body that closes the connection. */
    public AdminResponse(int status, String contentType, String body) {
        this(status, contentType, ByteString.copyFromUtf8(body), false);
    }

    /** Returns a response with a JSON body, which must not be null. */
    public static AdminResponse json(int status, JsonNode body) {
        return new AdminResponse(status, CONTENT_TYPE_JSON, body.toString());
    }
}
