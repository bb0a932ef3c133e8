package org.foxtailmoor.catalogue.cli;

import java.nio.file.Path;
import java.util.List;
import org.foxtailmoor.base.Command;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.base.FoxtailmoorException;
import org.foxtailmoor.base.Program;
import org.foxtailmoor.catalogue.CatalogueCodec;
import org.foxtailmoor.catalogue.CatalogueDiff;
import org.foxtailmoor.catalogue.CatalogueFault;
import org.foxtailmoor.catalogue.CatalogueReading;
import org.foxtailmoor.catalogue.CatalogueReview;
import org.foxtailmoor.protocol.generated.Entry;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/**
 * Sub-command {@code check}: reports every fault of a catalogue, what has no effect in it, and what
 * differs from the version in force.
 */
public final class CheckCommand extends Command {
    /** Default of {@code node.body_memory_bytes}. */
    private static final long DEFAULT_BODY_MEMORY_BYTES = 8_388_608;

    @Argument(
            required = true,
            metaVar = "FILE",
            usage = "catalogue in TOML, or a directory with published values")
    private Path mPath;

    @Option(
            name = "--against",
            metaVar = "FILE",
            usage = "version in force, in the same formats; lists the differences from it")
    private Path mAgainst;

    @Option(name = "--json", usage = "print one JSON object")
    private boolean mJson;

    @Option(name = "--strict", usage = "end with the exit code of an error if there are warnings")
    private boolean mStrict;

    @Option(
            name = "--body-memory-bytes",
            metaVar = "N",
            usage = "smallest node.body_memory_bytes of the fleet, 8388608 by default")
    private long mBodyMemoryBytes = DEFAULT_BODY_MEMORY_BYTES;

    @Override
    protected String name() {
        return "check";
    }

    @Override
    protected int run() {
        boolean failed = mJson ? printJson() : printText();
        return failed ? ErrorKind.CATALOGUE_INVALID.exitCode() : Program.EXIT_CODE_SUCCESS;
    }

    private boolean printText() {
        List<Entry> entries = CatalogueInput.readValid(mPath);
        CheckReport report = review(entries);
        System.out.printf(
                "%s: valid, %d entries in %d parts, %d warnings%n",
                mPath,
                entries.size(),
                CatalogueCodec.toDocument(0, entries).contents().size(),
                report.warnings().size());
        report.printText(System.out);
        return isFailure(report);
    }

    private boolean printJson() {
        CheckReport report;
        try {
            CatalogueReading reading = CatalogueInput.read(mPath);
            report =
                    reading.faults().isEmpty()
                            ? review(reading.entries())
                            : new CheckReport(reading.faults(), List.of(), null);
        } catch (FoxtailmoorException e) {
            if (e.kind() != ErrorKind.CATALOGUE_INVALID) {
                throw e;
            }
            List<CatalogueFault> errors = List.of(CatalogueFault.ofCatalogue(e.getMessage()));
            report = new CheckReport(errors, List.of(), null);
        }
        System.out.println(report.toJson());
        return isFailure(report);
    }

    private CheckReport review(List<Entry> entries) {
        CatalogueDiff changes =
                mAgainst == null
                        ? null
                        : CatalogueDiff.of(CatalogueInput.readUnchecked(mAgainst), entries);
        return new CheckReport(
                List.of(), CatalogueReview.review(entries, mBodyMemoryBytes), changes);
    }

    private boolean isFailure(CheckReport report) {
        return !report.errors().isEmpty() || mStrict && !report.warnings().isEmpty();
    }
}
