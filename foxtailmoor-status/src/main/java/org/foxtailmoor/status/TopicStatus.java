package org.foxtailmoor.status;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * State of one document, the catalogue or the instance list, at a node.
 *
 * @param version version in force, for example {@code 12-1f00ab34}; empty if there is none
 * @param number number of the version; 0 if there is none
 * @param inForceMilliseconds time since the version came into force; 0 if there is none
 * @param from id of the sender of the version; empty if unknown
 * @param sourceAgeMilliseconds time since a reader last read the source, as far as the node knows
 * @param conflict whether another version with the same number was seen
 * @param refused versions that the node refused
 */
public record TopicStatus(
        String version,
        long number,
        long inForceMilliseconds,
        String from,
        long sourceAgeMilliseconds,
        boolean conflict,
        List<Refused> refused) {

    /**
     * A version that a node refused.
     *
     * @param version version, not null
     * @param reason reason for the refusal
     * @param from id of the sender; empty if unknown
     */
    public record Refused(String version, String reason, String from) {}

    /** Copies the list. */
    public TopicStatus {
        refused = List.copyOf(refused);
    }

    /** Parses a state. Missing fields get empty values, unknown fields are ignored. */
    public static TopicStatus of(JsonNode json) {
        List<Refused> refused = new ArrayList<>();
        for (JsonNode element : json.path("refused")) {
            refused.add(
                    new Refused(
                            element.path("version").asText(""),
                            element.path("reason").asText(""),
                            element.path("from").asText("")));
        }
        return new TopicStatus(
                json.path("version").asText(""),
                json.path("number").asLong(),
                json.path("in_force_milliseconds").asLong(),
                json.path("from").asText(""),
                json.path("source_age_milliseconds").asLong(),
                !json.path("conflict").asText("").isEmpty(),
                refused);
    }
}
