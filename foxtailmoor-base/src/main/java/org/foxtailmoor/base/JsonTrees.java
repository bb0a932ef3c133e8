package org.foxtailmoor.base;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlFactory;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Reads JSON and TOML into trees with Jackson's parsers. An object mapper does the same, but it
 * brings several hundred classes for the binding of objects, which a node would load at each start.
 */
public final class JsonTrees {
    private static final JsonFactory JSON = new JsonFactory();
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private JsonTrees() {}

    /**
     * Reads the first value of a JSON text.
     *
     * @param text text in UTF-8, UTF-16 or UTF-32, not null
     * @return the value, a missing node for an empty text
     * @throws IOException if the text is not JSON
     */
    public static JsonNode readJson(byte[] text) throws IOException {
        try (JsonParser parser = JSON.createParser(text)) {
            return read(parser);
        }
    }

    /**
     * Reads a TOML document.
     *
     * @param text document, not null
     * @throws IOException if the text is not TOML
     */
    public static JsonNode readToml(String text) throws IOException {
        try (JsonParser parser = new TomlFactory().createParser(text)) {
            return read(parser);
        }
    }

    private static JsonNode read(JsonParser parser) throws IOException {
        Deque<JsonNode> open = new ArrayDeque<>();
        String name = null;
        JsonToken token = parser.nextToken();
        while (token != null) {
            if (token == JsonToken.FIELD_NAME) {
                name = parser.currentName();
            } else if (token.isStructEnd()) {
                JsonNode closed = open.pop();
                if (open.isEmpty()) {
                    return closed;
                }
            } else {
                JsonNode node = nodeOf(parser, token);
                if (open.peek() instanceof ObjectNode object) {
                    object.set(name, node);
                } else if (open.peek() instanceof ArrayNode array) {
                    array.add(node);
                }
                if (token.isStructStart()) {
                    open.push(node);
                } else if (open.isEmpty()) {
                    return node;
                }
                // A nested object has set other names.
                name = null;
            }
            token = parser.nextToken();
        }
        return NODES.missingNode();
    }

    private static JsonNode nodeOf(JsonParser parser, JsonToken token) throws IOException {
        return switch (token) {
            case START_OBJECT -> NODES.objectNode();
            case START_ARRAY -> NODES.arrayNode();
            case VALUE_STRING -> NODES.textNode(parser.getText());
            case VALUE_TRUE -> NODES.booleanNode(true);
            case VALUE_FALSE -> NODES.booleanNode(false);
            case VALUE_NULL -> NODES.nullNode();
            case VALUE_NUMBER_INT ->
                    switch (parser.getNumberType()) {
                        case INT -> NODES.numberNode(parser.getIntValue());
                        case LONG -> NODES.numberNode(parser.getLongValue());
                        default -> NODES.numberNode(parser.getBigIntegerValue());
                    };
            case VALUE_NUMBER_FLOAT ->
                    parser.getNumberType() == JsonParser.NumberType.BIG_DECIMAL
                            ? NODES.numberNode(parser.getDecimalValue())
                            : NODES.numberNode(parser.getDoubleValue());
            default -> NODES.pojoNode(parser.getEmbeddedObject());
        };
    }
}
