package org.foxtailmoor.status;

import org.foxtailmoor.base.Command;
import org.foxtailmoor.base.Program;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/** Program {@code foxtailmoor-status}: queries running nodes and never changes them. */
public final class StatusMain extends Program {
    private static final String NAME = "foxtailmoor-status";

    @Argument(
            required = true,
            metaVar = "COMMAND",
            usage = "status: state of nodes; explain: how a node would route a request",
            handler = SubCommandHandler.class)
    @SubCommands({
        @SubCommand(name = "status", impl = StatusCommand.class),
        @SubCommand(name = "explain", impl = ExplainCommand.class)
    })
    private Command mCommand;

    /** Runs the program and exits with its exit code. */
    public static void main(String... arguments) {
        System.exit(new StatusMain().execute(arguments));
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
