package org.foxtailmoor.node;

import java.nio.file.Path;
import java.util.Locale;
import org.foxtailmoor.base.JsonLogConfigurator;
import org.foxtailmoor.base.JsonLogProvider;
import org.foxtailmoor.base.Program;
import org.kohsuke.args4j.Option;

/** Main class of the program {@code foxtailmoor-node}, which runs one node until it is stopped. */
public final class NodeMain extends Program {
    private static final String LOG_LEVEL_PROPERTY = JsonLogConfigurator.LEVEL_PROPERTY;

    @Option(name = "--settings", metaVar = "FILE", required = true, usage = "settings in TOML")
    private Path mSettings;

    /** Runs the program and exits the process with its exit code. */
    public static void main(String... arguments) {
        System.exit(new NodeMain().execute(arguments));
    }

    @Override
    protected String name() {
        return "foxtailmoor-node";
    }

    @Override
    protected int run() {
        NodeSettings settings = NodeSettings.of(mSettings);
        // JsonLogConfigurator reads these properties when the first logger is created.
        JsonLogProvider.install();
        System.setProperty(LOG_LEVEL_PROPERTY, settings.log().level().toUpperCase(Locale.ROOT));
        Node node = Node.start(settings);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDown(node), "shutdown"));
        node.terminationFuture().join();
        return EXIT_CODE_SUCCESS;
    }

    /**
     * Shuts the node down on SIGTERM. Halts the JVM with the success exit code, because the JVM
     * would otherwise report termination by a signal for a planned stop.
     */
    private static void shutDown(Node node) {
        node.shutdownGracefully().join();
        JsonLogConfigurator.flush();
        Runtime.getRuntime().halt(EXIT_CODE_SUCCESS);
    }
}
