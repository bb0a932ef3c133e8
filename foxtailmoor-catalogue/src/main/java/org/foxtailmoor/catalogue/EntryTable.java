package org.foxtailmoor.catalogue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Reads the values of one table of an operators' file and collects its faults. */
final class EntryTable {
    private static final long MAXIMUM_UNSIGNED = 0xFFFF_FFFFL;

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
     * @param position place among the tables of the type, from 1; stands for an absent id
     * @param table table, an object
     * @param faults list that gets the faults
     */
    EntryTable(EntryType type, int position, JsonNode table, List<CatalogueFault> faults) {
        mType = type;
        mTable = table;
        mFaults = faults;
        String id = table.path("id").asText("");
        mId = id.isBlank() ? "#" + position : id;
        mOwner = table.path("owner").asText("");
    }

    /** Returns a text, or the empty text if the key is absent. */
    String readText(String key) {
        JsonNode node = find(key);
        if (node == null) {
            return "";
        }
        if (!node.isTextual()) {
            addFault(key, node + " must be a text");
            return "";
        }
        return node.asText();
    }

    /** Returns a list of texts, empty if the key is absent. */
    List<String> readTexts(String key) {
        List<String> texts = new ArrayList<>();
        JsonNode node = find(key);
        if (node == null) {
            return texts;
        }
        if (!node.isArray()) {
            addFault(key, node + " must be a list of texts");
            return texts;
        }
        for (JsonNode element : node) {
            if (element.isTextual()) {
                texts.add(element.asText());
            } else {
                addFault(key, element + " must be a text");
            }
        }
        return texts;
    }

    /** Returns a flag, false if the key is absent. */
    boolean readFlag(String key) {
        JsonNode node = find(key);
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
     * Returns a required number as an unsigned integer. {@link CatalogueChecker} checks the range;
     * only a number that does not fit is a fault here.
     */
    int readNumber(ValueRange range) {
        if (!mTable.has(range.field())) {
            addFault(range.field(), "missing, must be " + range.allowed());
        }
        return readNumber(range, 0);
    }

    /** Returns a number as an unsigned integer, or a default value if the key is absent. */
    int readNumber(ValueRange range, int defaultValue) {
        JsonNode node = find(range.field());
        if (node == null) {
            return defaultValue;
        }
        boolean fits =
                node.isIntegralNumber()
                        && node.canConvertToLong()
                        && node.asLong() >= 0
                        && node.asLong() <= MAXIMUM_UNSIGNED;
        if (!fits) {
            addFault(range.field(), node + " must be " + range.allowed());
            return defaultValue;
        }
        return (int) node.asLong();
    }

    /** Reports every key of the table that was not read. */
    void finish() {
        mTable.fieldNames()
                .forEachRemaining(
                        key -> {
                            if (!mKnownKeys.contains(key)) {
                                addFault(key, "unknown key");
                            }
                        });
    }

    private JsonNode find(String key) {
        mKnownKeys.add(key);
        return mTable.get(key);
    }

    private void addFault(String key, String message) {
        mFaults.add(new CatalogueFault(mType.label(), mId, mOwner, key, message));
    }
}
