package org.foxtailmoor.catalogue.cli;

import java.nio.file.Path;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.foxtailmoor.base.Command;
import org.foxtailmoor.base.Program;
import org.foxtailmoor.catalogue.CatalogueDiff;
import org.foxtailmoor.catalogue.EntryFormatter;
import org.foxtailmoor.catalogue.EntryType;
import org.foxtailmoor.protocol.generated.Entry;
import org.kohsuke.args4j.Argument;

/** Sub-command {@code diff}: lists added, changed and retired entries. */
public final class DiffCommand extends Command {
    private static final String ABSENT = "(absent)";

    @Argument(
            index = 0,
            required = true,
            metaVar = "OLD",
            usage = "catalogue in TOML, or a directory with published values")
    private Path mOld;

    @Argument(index = 1, required = true, metaVar = "NEW", usage = "the same, to compare with OLD")
    private Path mNew;

    @Override
    protected String name() {
        return "diff";
    }

    @Override
    protected int run() {
        CatalogueDiff diff =
                CatalogueDiff.of(
                        CatalogueInput.readUnchecked(mOld), CatalogueInput.readUnchecked(mNew));
        if (diff.isEmpty()) {
            System.out.println("no differences");
        }
        diff.added().forEach(entry -> print("added", entry));
        diff.changed().forEach(DiffCommand::printChange);
        diff.retired().forEach(entry -> print("retired", entry));
        return Program.EXIT_CODE_SUCCESS;
    }

    private static void printChange(CatalogueDiff.Change change) {
        print("changed", change.after());
        Map<String, String> before = EntryFormatter.toFields(change.before());
        Map<String, String> after = EntryFormatter.toFields(change.after());
        Set<String> keys = new LinkedHashSet<>(before.keySet());
        keys.addAll(after.keySet());
        for (String key : keys) {
            String old = before.getOrDefault(key, ABSENT);
            String current = after.getOrDefault(key, ABSENT);
            if (!old.equals(current)) {
                System.out.println("  " + key + ": " + old + " -> " + current);
            }
        }
    }

    private static void print(String change, Entry entry) {
        String type = EntryType.of(entry).map(EntryType::label).orElse("entry");
        System.out.printf("%s %s %s (owner %s)%n", change, type, entry.getId(), entry.getOwner());
    }
}
