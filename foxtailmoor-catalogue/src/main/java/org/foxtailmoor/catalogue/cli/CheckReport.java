package org.foxtailmoor.catalogue.cli;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.util.List;
import org.foxtailmoor.catalogue.CatalogueDiff;
import org.foxtailmoor.catalogue.CatalogueFault;
import org.foxtailmoor.catalogue.EntryType;
import org.foxtailmoor.protocol.generated.Entry;

/**
 * Result of a check.
 *
 * @param errors faults for which nodes reject the catalogue
 * @param warnings what has no effect or contradicts something else
 * @param changes differences from the version in force, or null if it was not given
 */
record CheckReport(
        List<CatalogueFault> errors, List<CatalogueFault> warnings, CatalogueDiff changes) {
    private static final JsonNodeFactory JSON = JsonNodeFactory.instance;

    /** Prints the warnings and the changes, one line for each entry or field. */
    void printText(PrintStream output) {
        warnings.forEach(warning -> output.println("warning: " + warning));
        if (changes != null) {
            printChanges(output, changes);
        }
    }

    /** Prints added, changed and retired entries, one line for each entry or field. */
    static void printChanges(PrintStream output, CatalogueDiff changes) {
        if (changes.isEmpty()) {
            output.println("no differences");
        }
        changes.added().forEach(entry -> print(output, "added", entry));
        for (CatalogueDiff.Change change : changes.changed()) {
            print(output, "changed", change.after());
            FieldChange.of(change).forEach(field -> output.println("  " + field));
        }
        changes.retired().forEach(entry -> print(output, "retired", entry));
    }

    /** Returns the report as a JSON object. */
    String toJson() {
        ObjectNode root = JSON.objectNode();
        root.put("valid", errors.isEmpty());
        addFaults(root.putArray("errors"), errors);
        addFaults(root.putArray("warnings"), warnings);
        if (changes != null) {
            ArrayNode list = root.putArray("changes");
            changes.added().forEach(entry -> addChange(list, "added", entry));
            for (CatalogueDiff.Change change : changes.changed()) {
                ArrayNode fields = addChange(list, "changed", change.after()).putArray("fields");
                for (FieldChange field : FieldChange.of(change)) {
                    fields.addObject()
                            .put("field", field.field())
                            .put("before", field.before())
                            .put("after", field.after());
                }
            }
            changes.retired().forEach(entry -> addChange(list, "retired", entry));
        }
        return root.toPrettyString();
    }

    private static void addFaults(ArrayNode list, List<CatalogueFault> faults) {
        for (CatalogueFault fault : faults) {
            list.addObject()
                    .put("type", fault.type())
                    .put("id", fault.id())
                    .put("owner", fault.owner())
                    .put("field", fault.field())
                    .put("message", fault.message());
        }
    }

    private static ObjectNode addChange(ArrayNode list, String change, Entry entry) {
        return list.addObject()
                .put("change", change)
                .put("type", labelOf(entry))
                .put("id", entry.getId())
                .put("owner", entry.getOwner());
    }

    private static void print(PrintStream output, String change, Entry entry) {
        output.printf(
                "%s %s %s (owner %s)%n", change, labelOf(entry), entry.getId(), entry.getOwner());
    }

    private static String labelOf(Entry entry) {
        return EntryType.of(entry).map(EntryType::label).orElse("entry");
    }
}
