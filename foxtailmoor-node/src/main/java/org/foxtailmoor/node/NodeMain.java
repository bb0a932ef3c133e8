package org.foxtailmoor.node;

import java.nio.file.Path;
import java.util.Locale;
import org.foxtailmoor.base.JsonLogConfigurator;
import org.foxtailmoor.base.Program;
import org.kohsuke.args4j.Option;

/** The program {@code foxtailmoor-node}: runs one node until it is told to stop. */
public final class NodeMain extends Program {
    private static final String LOG_LEVEL_PROPERTY = JsonLogConfigurator.LEVEL_PROPERTY;

    @Option(name = "--settings", metaVar = "FILE", required = true, usage = "settings in TOML")
    private Path mSettings;

    /** Runs the program and ends the process with its exit code. */
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
        // Read by JsonLogConfigurator, so that it must be set before the first logger is created.
        System.setProperty(JsonLogConfigurator.OUTPUT_PROPERTY, JsonLogConfigurator.OUTPUT_BATCH);
        System.setProperty(LOG_LEVEL_PROPERTY, settings.log().level().toUpperCase(Locale.ROOT));
        Node node = Node.start(settings);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(node), "shutdown"));
        node.ended().join();
        return EXIT_CODE_SUCCESS;
    }

    /** Ends the node on SIGTERM. A planned stop is a success, not the death by a signal. */
    private static void stop(Node node) {
        node.leave().join();
        JsonLogConfigurator.flush();
        Runtime.getRuntime().halt(EXIT_CODE_SUCCESS);
    }
}
