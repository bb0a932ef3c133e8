package org.foxtailmoor.node.admin;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Objects;

/**
 * An answer of the admin port.
 *
 * @param status HTTP status
 * @param contentType media type of the body, not null
 * @param body body, not null
 */
public record AdminResponse(int status, String contentType, String body) {
    /** Media type of JSON bodies. */
    public static final String JSON = "application/json";

    /** Checks that no component is null. */
    public AdminResponse {
        Objects.requireNonNull(contentType, "contentType");
        Objects.requireNonNull(body, "body");
    }

    /** Returns an answer with a JSON body, which must not be null. */
    public static AdminResponse json(int status, JsonNode body) {
        return new AdminResponse(status, JSON, body.toString());
    }
}
