package org.foxtailmoor.catalogue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Reads the values of one table of a catalogue file and records its faults. */
final class EntryTable {
    private static final long MAXIMUM_UNSIGNED_INT = 0xFFFF_FFFFL;

    private final EntryType mType;
    private final JsonNode mTable;
    private final List<CatalogueFault> mFaults;
    private final Set<String> mKnownKeys = new HashSet<>();
    private final String mId;
    private final String mOwner;

    /**
     * Creates a reader of a table.
     *
     * @param type type of the entry
     * @param position 1-based index among the tables of the type; replaces a missing id in messages
     * @param table table, an object
     * @param faults list to which faults are added
     */
    EntryTable(EntryType type, int position, JsonNode table, List<CatalogueFault> faults) {
        mType = type;
        mTable = table;
        mFaults = faults;
        String id = table.path("id").asText("");
        mId = id.isBlank() ? "#" + position : id;
        mOwner = table.path("owner").asText("");
    }

    /** Returns a string, or the empty string if the key is absent. */
    String readString(String key) {
        JsonNode node = get(key);
        if (node == null) {
            return "";
        }
        if (!node.isTextual()) {
            addFault(key, node + " must be a string");
            return "";
        }
        return node.asText();
    }

    /** Returns a list of strings, empty if the key is absent. */
    List<String> readStrings(String key) {
        List<String> strings = new ArrayList<>();
        JsonNode node = get(key);
        if (node == null) {
            return strings;
        }
        if (!node.isArray()) {
            addFault(key, node + " must be a list of strings");
            return strings;
        }
        for (JsonNode element : node) {
            if (element.isTextual()) {
                strings.add(element.asText());
            } else {
                addFault(key, element + " must be a string");
            }
        }
        return strings;
    }

    /** Returns a boolean, false if the key is absent. */
    boolean readBoolean(String key) {
        JsonNode node = get(key);
        if (node == null) {
            return false;
        }
        if (!node.isBoolean()) {
            addFault(key, node + " must be true or false");
            return false;
        }
        return node.asBoolean();
    }

    /**
     * Returns a required number as an unsigned integer. {@link EntryChecker} checks the range; only
     * a number that does not fit in 32 bits is reported here.
     */
    int readNumber(ValueRange range) {
        if (!mTable.has(range.field())) {
            addFault(range.field(), "missing, must be " + range.describe());
        }
        return readNumber(range, 0);
    }

    /** Returns a number as an unsigned integer, or a default value if the key is absent. */
    int readNumber(ValueRange range, int defaultValue) {
        JsonNode node = get(range.field());
        if (node == null) {
            return defaultValue;
        }
        boolean fits =
                node.isIntegralNumber()
                        && node.canConvertToLong()
                        && node.asLong() >= 0
                        && node.asLong() <= MAXIMUM_UNSIGNED_INT;
        if (!fits) {
            addFault(range.field(), node + " must be " + range.describe());
            return defaultValue;
        }
        return (int) node.asLong();
    }

    /** Reports every key of the table that was not read. */
    void reportUnknownKeys() {
        mTable.fieldNames()
                .forEachRemaining(
                        key -> {
                            if (!mKnownKeys.contains(key)) {
                                addFault(key, "unknown key");
                            }
                        });
    }

    private JsonNode get(String key) {
        mKnownKeys.add(key);
        return mTable.get(key);
    }

    private void addFault(String key, String message) {
        mFaults.add(new CatalogueFault(mType.label(), mId, mOwner, key, message));
    }
}
