package org.foxtailmoor.node.admin;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Objects;

/**
 * An answer of the admin port.
 *
 * @param status HTTP status
 * @param body JSON body, not null
 */
public record AdminResponse(int status, JsonNode body) {
    /** Checks that the body is not null. */
    public AdminResponse {
        Objects.requireNonNull(body, "body");
    }
}
