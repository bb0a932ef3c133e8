package org.foxtailmoor.catalogue.cli;

import java.nio.file.Path;
import java.util.List;
import org.foxtailmoor.base.Command;
import org.foxtailmoor.base.Program;
import org.foxtailmoor.catalogue.CatalogueCodec;
import org.foxtailmoor.protocol.Document;
import org.foxtailmoor.protocol.generated.Entry;
import org.kohsuke.args4j.Argument;

/** Sub-command {@code check}: reports every fault of a catalogue. */
public final class CheckCommand extends Command {
    @Argument(
            required = true,
            metaVar = "FILE",
            usage = "catalogue in TOML, or a directory with published values")
    private Path mPath;

    @Override
    protected String name() {
        return "check";
    }

    @Override
    protected int run() {
        List<Entry> entries = CatalogueInput.readValid(mPath);
        Document document = CatalogueCodec.toDocument(0, entries);
        System.out.printf(
                "%s: valid, %d entries in %d parts%n",
                mPath, entries.size(), document.contents().size());
        return Program.EXIT_CODE_SUCCESS;
    }
}
