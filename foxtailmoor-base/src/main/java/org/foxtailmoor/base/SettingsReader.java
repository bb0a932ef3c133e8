package org.foxtailmoor.base;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Reads settings from TOML and collects all faults, so that they are reported together.
 *
 * <p>Each {@code read} method returns a usable value even after a fault; call {@link #finish()}
 * after the last one, which fails if there was any fault or unknown key.
 *
 * <pre>{@code
 * SettingsReader reader = SettingsReader.of(path);
 * int port = reader.readInteger("node.caller_port", 0, 65535, null);
 * reader.finish();
 * }</pre>
 */
public final class SettingsReader {
    private final String mSource;
    private final JsonNode mRoot;
    private final List<String> mFaults = new ArrayList<>();
    private final Set<String> mKnownKeys = new TreeSet<>();

    private SettingsReader(String source, JsonNode root) {
        mSource = source;
        mRoot = root;
    }

    /**
     * Reads a file.
     *
     * @param path TOML file, not null
     * @throws FoxtailmoorException of kind SETTINGS_INVALID if it can't be read or is not TOML
     */
    public static SettingsReader of(Path path) {
        try {
            return of(path.toString(), Files.readString(path));
        } catch (IOException e) {
            throw FoxtailmoorException.of(
                    ErrorKind.SETTINGS_INVALID, "cannot read settings file " + path, e);
        }
    }

    /**
     * Parses a string.
     *
     * @param source name for messages
     * @param text TOML
     * @throws FoxtailmoorException of kind SETTINGS_INVALID if it is not TOML
     */
    public static SettingsReader of(String source, String text) {
        try {
            return new SettingsReader(source, JsonTrees.readToml(text));
        } catch (JsonProcessingException e) {
            throw FoxtailmoorException.of(
                    ErrorKind.SETTINGS_INVALID,
                    source + " is not valid TOML: " + e.getOriginalMessage(),
                    e);
        } catch (IOException e) {
            throw FoxtailmoorException.of(ErrorKind.SETTINGS_INVALID, "cannot read " + source, e);
        }
    }

    /**
     * Returns a string, or the default value if the key is absent.
     *
     * @param key dotted key
     * @param defaultValue null makes the key required
     */
    public String readText(String key, String defaultValue) {
        JsonNode node = find(key);
        if (node == null) {
            return defaultOrFault(key, defaultValue, "a text", "");
        }
        if (!node.isTextual() || node.asText().isBlank()) {
            addFault(key, node, "a text that is not blank");
            return "";
        }
        return node.asText();
    }

    /** Returns a string that must be one of the allowed values, see {@link #readText}. */
    public String readChoice(String key, List<String> allowed, String defaultValue) {
        String value = readText(key, defaultValue);
        if (!value.isEmpty() && !allowed.contains(value)) {
            addFault(key, find(key), "one of " + allowed);
            return allowed.get(0);
        }
        return value;
    }

    /**
     * Returns a whole number within a range, or the default value if the key is absent.
     *
     * @param key dotted key
     * @param minimum smallest allowed value
     * @param maximum largest allowed value
     * @param defaultValue null makes the key required
     */
    public int readInteger(String key, int minimum, int maximum, Integer defaultValue) {
        String allowed = "a whole number from " + minimum + " to " + maximum;
        JsonNode node = find(key);
        if (node == null) {
            return defaultOrFault(key, defaultValue, allowed, minimum);
        }
        boolean inRange =
                node.isIntegralNumber()
                        && node.canConvertToInt()
                        && node.asInt() >= minimum
                        && node.asInt() <= maximum;
        if (!inRange) {
            addFault(key, node, allowed);
            return minimum;
        }
        return node.asInt();
    }

    /** Returns a number within a range, see {@link #readInteger}. */
    public double readNumber(String key, double minimum, double maximum, Double defaultValue) {
        String allowed = "a number from " + minimum + " to " + maximum;
        JsonNode node = find(key);
        if (node == null) {
            return defaultOrFault(key, defaultValue, allowed, minimum);
        }
        // TOML allows nan, for which every comparison is false.
        boolean inRange =
                node.isNumber() && node.asDouble() >= minimum && node.asDouble() <= maximum;
        if (!inRange) {
            addFault(key, node, allowed);
            return minimum;
        }
        return node.asDouble();
    }

    /** Returns a list of strings, empty if the key is absent. */
    public List<String> readTexts(String key) {
        List<String> texts = new ArrayList<>();
        JsonNode node = find(key);
        if (node == null) {
            return texts;
        }
        if (!node.isArray()) {
            addFault(key, node, "a list of texts");
            return texts;
        }
        for (JsonNode element : node) {
            if (element.isTextual()) {
                texts.add(element.asText());
            } else {
                addFault(key, element, "a text in each place of the list");
            }
        }
        return texts;
    }

    /** Adds a fault found by the caller, for example an inconsistency between two keys. */
    public void addFault(String fault) {
        mFaults.add(fault);
    }

    /**
     * Checks for unknown keys and reports all faults.
     *
     * @throws FoxtailmoorException of kind SETTINGS_INVALID that lists every fault
     */
    public void finish() {
        reportUnknownKeys("", mRoot);
        if (mFaults.isEmpty()) {
            return;
        }
        throw FoxtailmoorException.of(
                ErrorKind.SETTINGS_INVALID,
                mSource
                        + " has "
                        + mFaults.size()
                        + (mFaults.size() == 1 ? " fault:\n  " : " faults:\n  ")
                        + String.join("\n  ", mFaults));
    }

    private JsonNode find(String key) {
        mKnownKeys.add(key);
        JsonNode node = mRoot;
        for (String name : key.split("\\.")) {
            node = node.get(name);
            if (node == null) {
                return null;
            }
        }
        return node;
    }

    private <T> T defaultOrFault(String key, T defaultValue, String allowed, T substitute) {
        if (defaultValue != null) {
            return defaultValue;
        }
        mFaults.add(key + ": missing, must be " + allowed);
        return substitute;
    }

    private void addFault(String key, JsonNode value, String allowed) {
        mFaults.add(key + " = " + value + ": must be " + allowed);
    }

    private boolean isKnownSection(String key) {
        return mKnownKeys.stream().anyMatch(known -> known.startsWith(key + "."));
    }

    private void reportUnknownKeys(String prefix, JsonNode node) {
        node.properties()
                .forEach(
                        property -> {
                            String key = prefix + property.getKey();
                            if (property.getValue().isObject() && isKnownSection(key)) {
                                reportUnknownKeys(key + ".", property.getValue());
                            } else if (!mKnownKeys.contains(key)) {
                                mFaults.add(key + ": unknown key");
                            }
                        });
    }
}
