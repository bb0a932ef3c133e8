package org.foxtailmoor.status;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Objects;

/**
 * Response of one node to {@code /status}, or the error if there is none.
 *
 * @param address address that was queried
 * @param json body of the response; null if there is none
 * @param error reason why there is no response; empty if there is one
 */
public record NodeAnswer(NodeAddress address, JsonNode json, String error) {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Checks that the address and the error are not null. */
    public NodeAnswer {
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(error, "error");
    }

    /** Creates an answer from a response body; a body that is not a JSON object is an error. */
    public static NodeAnswer of(NodeAddress address, String body) {
        try {
            JsonNode json = JSON.readTree(body);
            if (json.isObject()) {
                return new NodeAnswer(address, json, "");
            }
        } catch (JsonProcessingException e) {
            return ofError(address, address + " answers without JSON: " + e.getOriginalMessage());
        }
        return ofError(address, address + " answers without a JSON object");
    }

    /** Creates an answer for a node that did not respond. */
    public static NodeAnswer ofError(NodeAddress address, String error) {
        return new NodeAnswer(address, null, error);
    }

    /** Returns whether the node responded with a JSON object. */
    public boolean isPresent() {
        return json != null;
    }

    /**
     * Returns the state of the node.
     *
     * @throws IllegalStateException if the node did not answer
     */
    public NodeStatus status() {
        if (json == null) {
            throw new IllegalStateException(address + " did not answer");
        }
        return NodeStatus.of(json);
    }
}
