package org.foxtailmoor.standins.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * An answer to one request. Immutable, except that the body is not copied.
 *
 * @param status HTTP status
 * @param headers headers, unmodifiable; names compare with case
 * @param body body, not null
 */
public record HttpReply(int status, Map<String, String> headers, byte[] body) {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final byte[] EMPTY_BODY = {};

    /** Returns an answer with a status and no body. */
    public static HttpReply of(int status) {
        return new HttpReply(status, Map.of(), EMPTY_BODY);
    }

    /** Returns an answer with a line of plain text. */
    public static HttpReply ofText(int status, String text) {
        byte[] body = (text + "\n").getBytes(StandardCharsets.UTF_8);
        return new HttpReply(status, Map.of("Content-Type", "text/plain"), body);
    }

    /**
     * Returns an answer with a JSON body.
     *
     * @param status HTTP status
     * @param value tree, map or record that Jackson can write
     */
    public static HttpReply ofJson(int status, Object value) {
        try {
            byte[] body = MAPPER.writeValueAsBytes(value);
            return new HttpReply(status, Map.of("Content-Type", "application/json"), body);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("value cannot be written as JSON", e);
        }
    }

    /** Returns this answer with one more header, or with its value replaced. */
    public HttpReply withHeader(String name, String value) {
        Map<String, String> changed = new LinkedHashMap<>(headers);
        changed.put(name, value);
        return new HttpReply(status, Map.copyOf(changed), body);
    }
}
