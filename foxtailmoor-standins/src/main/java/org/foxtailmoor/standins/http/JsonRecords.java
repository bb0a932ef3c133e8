package org.foxtailmoor.standins.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/** Converts records to JSON objects whose member names are in snake case, and back. */
public final class JsonRecords {
    private static final ObjectMapper MAPPER =
            new ObjectMapper().setPropertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE);

    private JsonRecords() {}

    /** Returns a record, or a map or list of records, as JSON. */
    public static JsonNode toJson(Object value) {
        return MAPPER.valueToTree(value);
    }

    /**
     * Returns a record with the members of a JSON object replaced; absent members stay.
     *
     * @param current record to start from, not null
     * @param change object with some of the record's members
     * @throws IllegalArgumentException if a member is unknown, has a wrong type or is refused by
     *     the constructor of the record
     */
    @SuppressWarnings("unchecked")
    public static <T extends Record> T merge(T current, JsonNode change) {
        ObjectNode merged = MAPPER.valueToTree(current);
        change.properties().forEach(member -> merged.set(member.getKey(), member.getValue()));
        try {
            return (T) MAPPER.treeToValue(merged, current.getClass());
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(e.getOriginalMessage(), e);
        }
    }

    /**
     * Parses a JSON text.
     *
     * @throws IllegalArgumentException if it is no JSON
     */
    public static JsonNode parse(byte[] text) {
        try {
            return MAPPER.readTree(text);
        } catch (IOException e) {
            throw new IllegalArgumentException("not valid JSON: " + e.getMessage(), e);
        }
    }
}
