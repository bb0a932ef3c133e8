package org.foxtailmoor.catalogue.cli;

import java.nio.file.Path;
import java.util.HexFormat;
import org.foxtailmoor.base.Command;
import org.foxtailmoor.base.Program;
import org.foxtailmoor.catalogue.CatalogueCodec;
import org.foxtailmoor.catalogue.EntryFormatter;
import org.foxtailmoor.catalogue.PublishedValues;
import org.foxtailmoor.protocol.Document;
import org.foxtailmoor.protocol.DocumentVersions;
import org.kohsuke.args4j.Argument;

/** Sub-command {@code show}: prints published values as TOML, with the version as a comment. */
public final class ShowCommand extends Command {
    @Argument(required = true, metaVar = "DIR", usage = "directory with the published values")
    private Path mDirectory;

    @Override
    protected String name() {
        return "show";
    }

    @Override
    protected int run() {
        Document document = PublishedValues.read(mDirectory);
        System.out.println("# version " + DocumentVersions.format(document.version()));
        document.manifest()
                .getPartsList()
                .forEach(
                        part ->
                                System.out.printf(
                                        "# part %s, %d bytes, digest %s%n",
                                        part.getName(),
                                        part.getSize(),
                                        HexFormat.of().formatHex(part.getDigest().toByteArray())));
        System.out.println();
        System.out.print(EntryFormatter.toToml(CatalogueCodec.toEntries(document)));
        return Program.EXIT_CODE_SUCCESS;
    }
}
