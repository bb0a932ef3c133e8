package org.foxtailmoor.node.admin;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Objects;

/**
 * Response of the admin port.
 *
 * @param status HTTP status code
 * @param contentType media type of the body, not null
 * @param body response body, not null
 */
public record AdminResponse(int status, String contentType, String body) {
    /** Content type of JSON bodies. */
    public static final String CONTENT_TYPE_JSON = "application/json";

    /** Checks that the content type and the body are not null. */
    public AdminResponse {
        Objects.requireNonNull(contentType, "contentType");
        Objects.requireNonNull(body, "body");
    }

    /** Returns a response with a JSON body, which must not be null. */
    public static AdminResponse json(int status, JsonNode body) {
        return new AdminResponse(status, CONTENT_TYPE_JSON, body.toString());
    }
}
