package org.foxtailmoor.node.platform;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.base.FoxtailmoorException;
import org.foxtailmoor.core.source.InstanceListing;
import org.foxtailmoor.protocol.generated.Instance;

/**
 * Parses the JSON form of the instance list. It uses a streaming parser, because the object tree of
 * a large list would exceed the memory budget of a node.
 */
final class InstanceListingParser {
    private static final String STATE_LEAVING = "leaving";

    private final JsonFactory mFactory = new JsonFactory();

    /**
     * Parses an instance list. Unknown fields are skipped.
     *
     * @param json JSON object with the fields {@code revision} and {@code instances}
     * @throws FoxtailmoorException of kind PLATFORM_UNAVAILABLE if the list is malformed
     */
    InstanceListing parse(byte[] json) {
        long revision = 0;
        List<Instance> instances = new ArrayList<>();
        try (JsonParser parser = mFactory.createParser(json)) {
            expect(parser.nextToken(), JsonToken.START_OBJECT);
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                String name = parser.currentName();
                parser.nextToken();
                if (name.equals("revision")) {
                    revision = parser.getLongValue();
                } else if (name.equals("instances")) {
                    parseInstances(parser, instances);
                } else {
                    parser.skipChildren();
                }
            }
        } catch (IOException e) {
            throw malformed(e.getMessage(), e);
        }
        return new InstanceListing(revision, instances);
    }

    private static void parseInstances(JsonParser parser, List<Instance> instances)
            throws IOException {
        expect(parser.currentToken(), JsonToken.START_ARRAY);
        while (parser.nextToken() == JsonToken.START_OBJECT) {
            instances.add(parseInstance(parser));
        }
    }

    private static Instance parseInstance(JsonParser parser) throws IOException {
        Instance.Builder instance = Instance.newBuilder();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            parser.nextToken();
            switch (name) {
                case "id" -> instance.setId(parser.getText());
                case "service" -> instance.setServiceId(parser.getText());
                case "region" -> instance.setRegion(parser.getText());
                case "zone" -> instance.setZone(parser.getText());
                case "address" -> instance.setAddress(parser.getText());
                case "node_port" -> instance.setNodePort(parser.getIntValue());
                case "control_port" -> instance.setControlPort(parser.getIntValue());
                case "state" -> instance.setLeaving(parser.getText().equals(STATE_LEAVING));
                default -> parser.skipChildren();
            }
        }
        return instance.build();
    }

    private static void expect(JsonToken actual, JsonToken expected) {
        if (actual != expected) {
            throw malformed("expected " + expected + " but found " + actual, null);
        }
    }

    private static FoxtailmoorException malformed(String reason, Throwable cause) {
        return FoxtailmoorException.of(
                ErrorKind.PLATFORM_UNAVAILABLE, "malformed instance list: " + reason, cause);
    }
}
