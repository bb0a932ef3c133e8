package org.foxtailmoor.catalogue.cli;

import java.nio.file.Path;
import org.foxtailmoor.base.Command;
import org.foxtailmoor.base.Program;
import org.foxtailmoor.catalogue.CatalogueDiff;
import org.kohsuke.args4j.Argument;

/** Sub-command {@code diff}: lists added, changed and retired entries. */
public final class DiffCommand extends Command {
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
        CheckReport.printChanges(System.out, diff);
        return Program.EXIT_CODE_SUCCESS;
    }
}
