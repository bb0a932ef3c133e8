package org.foxtailmoor.catalogue.cli;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.foxtailmoor.catalogue.CatalogueDiff;
import org.foxtailmoor.catalogue.EntryFormatter;

/**
 * Difference in one field of an entry.
 *
 * @param field name of the field
 * @param before TOML value in the old catalogue
 * @param after TOML value in the new catalogue
 */
record FieldChange(String field, String before, String after) {
    private static final String ABSENT = "(absent)";

    /** Returns the fields that differ between the two states of an entry. */
    static List<FieldChange> of(CatalogueDiff.Change change) {
        Map<String, String> before = EntryFormatter.toFields(change.before());
        Map<String, String> after = EntryFormatter.toFields(change.after());
        Set<String> fields = new LinkedHashSet<>(before.keySet());
        fields.addAll(after.keySet());
        List<FieldChange> changes = new ArrayList<>();
        for (String field : fields) {
            String old = before.getOrDefault(field, ABSENT);
            String current = after.getOrDefault(field, ABSENT);
            if (!old.equals(current)) {
                changes.add(new FieldChange(field, old, current));
            }
        }
        return changes;
    }

    @Override
    public String toString() {
        return field + ": " + before + " -> " + after;
    }
}
