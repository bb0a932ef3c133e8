package org.foxtailmoor.base;

import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/**
 * Runs a command-line program: parses its arguments, handles {@code --help} and {@code --version},
 * and turns failures into a message and an exit code.
 */
public abstract class Program {
    /** Exit code of a program that succeeded. */
    public static final int EXIT_CODE_SUCCESS = 0;

    private static final int USAGE_WIDTH = 100; // columns

    @Option(name = "--help", help = true, usage = "print this help and exit")
    private boolean mHelp;

    @Option(name = "--version", help = true, usage = "print the version and exit")
    private boolean mVersion;

    /** Returns the name of the program as users type it. */
    protected abstract String name();

    /**
     * Runs the program after its arguments have been parsed.
     *
     * @return exit code
     * @throws FoxtailmoorException if the program fails; its kind determines the exit code
     */
    protected abstract int run();

    /** Returns the arguments that follow the program name in the usage line. */
    protected String synopsis() {
        return "[options]";
    }

    /**
     * Runs the program with its arguments and returns the exit code.
     *
     * @param arguments command-line arguments, not null
     */
    public final int execute(String... arguments) {
        CmdLineParser parser = new CmdLineParser(this);
        parser.getProperties().withUsageWidth(USAGE_WIDTH).withShowDefaults(false);
        try {
            parser.parseArgument(arguments);
            if (mHelp) {
                System.out.println("usage: " + name() + " " + synopsis());
                parser.printUsage(System.out);
                return EXIT_CODE_SUCCESS;
            }
            if (mVersion) {
                System.out.println(name() + " " + version());
                return EXIT_CODE_SUCCESS;
            }
            return run();
        } catch (CmdLineException e) {
            System.err.println(name() + ": " + e.getMessage() + " (see " + name() + " --help)");
            return ErrorKind.USAGE.exitCode();
        } catch (FoxtailmoorException e) {
            System.err.println(name() + ": " + e.getMessage());
            return e.kind().exitCode();
        }
    }

    private String version() {
        String version = getClass().getPackage().getImplementationVersion();
        return version == null ? "development" : version;
    }
}
