package org.foxtailmoor.catalogue.cli;

import org.foxtailmoor.base.Command;
import org.foxtailmoor.base.Program;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/** Program {@code foxtailmoor-catalogue}: works on catalogue files, without network access. */
public final class CatalogueMain extends Program {
    private static final String NAME = "foxtailmoor-catalogue";

    @Argument(
            required = true,
            metaVar = "COMMAND",
            usage =
                    "check: report all faults; diff: list changes; build: write the values to"
                            + " publish; show: print published values as text",
            handler = SubCommandHandler.class)
    @SubCommands({
        @SubCommand(name = "check", impl = CheckCommand.class),
        @SubCommand(name = "diff", impl = DiffCommand.class),
        @SubCommand(name = "build", impl = BuildCommand.class),
        @SubCommand(name = "show", impl = ShowCommand.class)
    })
    private Command mCommand;

    /** Runs the program and exits with its exit code. */
    public static void main(String... arguments) {
        System.exit(new CatalogueMain().execute(arguments));
    }

    @Override
    protected String name() {
        return NAME;
    }

    @Override
    protected String synopsis() {
        return "[options] COMMAND [arguments] (COMMAND --help describes its arguments)";
    }

    @Override
    protected int run() {
        return mCommand.execute(NAME);
    }
}
