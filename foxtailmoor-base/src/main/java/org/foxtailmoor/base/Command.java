package org.foxtailmoor.base;

import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/**
 * One sub-command of a {@link Program}, for example {@code check} of {@code foxtailmoor-catalogue}.
 *
 * <p>args4j instantiates sub-commands, so each needs a public constructor without parameters.
 */
public abstract class Command {
    private static final int USAGE_WIDTH = 100; // columns

    @Option(name = "--help", help = true, usage = "print this help and exit")
    private boolean mHelp;

    /** Returns the name of the sub-command as users type it. */
    protected abstract String name();

    /**
     * Runs the sub-command.
     *
     * @return exit code
     * @throws FoxtailmoorException if the sub-command fails; its kind determines the exit code
     */
    protected abstract int run();

    /**
     * Runs the sub-command, or prints its help if asked to, and returns the exit code.
     *
     * @param programName name of the program, for the help
     */
    public final int execute(String programName) {
        if (!mHelp) {
            return run();
        }
        CmdLineParser parser = new CmdLineParser(this);
        parser.getProperties().withUsageWidth(USAGE_WIDTH).withShowDefaults(false);
        System.out.print("usage: " + programName + " " + name());
        parser.printSingleLineUsage(System.out);
        System.out.println();
        parser.printUsage(System.out);
        return Program.EXIT_CODE_SUCCESS;
    }
}
