package org.foxtailmoor.catalogue.cli;

import java.nio.file.Path;
import java.util.List;
import org.foxtailmoor.base.Command;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.base.FoxtailmoorException;
import org.foxtailmoor.base.Program;
import org.foxtailmoor.catalogue.CatalogueCodec;
import org.foxtailmoor.catalogue.PublishedValues;
import org.foxtailmoor.protocol.Document;
import org.foxtailmoor.protocol.DocumentVersions;
import org.foxtailmoor.protocol.generated.Entry;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Sub-command {@code build}: writes the manifest and the parts of a valid catalogue. */
public final class BuildCommand extends Command {
    @Argument(required = true, metaVar = "FILE", usage = "catalogue in TOML")
    private Path mPath;

    @Option(
            name = "--number",
            metaVar = "N",
            forbids = "--base",
            usage = "number of the version, at least 1")
    private Long mNumber;

    @Option(
            name = "--base",
            metaVar = "DIR",
            forbids = "--number",
            usage = "directory with the published values; takes their number plus 1")
    private Path mBase;

    @Option(
            name = "--output",
            required = true,
            metaVar = "DIR",
            usage = "directory for catalogue/manifest and catalogue/part/DIGEST")
    private Path mOutput;

    @Override
    protected String name() {
        return "build";
    }

    @Override
    protected int run() {
        long number = number();
        List<Entry> entries = CatalogueInput.readValid(mPath);
        Document document = CatalogueCodec.toDocument(number, entries);
        int added = PublishedValues.write(mOutput, document);
        System.out.printf(
                "version %s: %d parts in %s, %d of them new%n",
                DocumentVersions.format(document.version()),
                document.contents().size(),
                mOutput,
                added);
        return Program.EXIT_CODE_SUCCESS;
    }

    private long number() {
        if (mBase != null) {
            return PublishedValues.readManifest(mBase).getNumber() + 1;
        }
        if (mNumber == null || mNumber < 1) {
            throw FoxtailmoorException.of(
                    ErrorKind.USAGE, "build needs --base DIR or --number N with N at least 1");
        }
        return mNumber;
    }
}
