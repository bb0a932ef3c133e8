package org.foxtailmoor.standins;

import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.function.Supplier;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.base.Program;
import org.foxtailmoor.standins.demo.DemoProgram;
import org.foxtailmoor.standins.load.LoadProgram;
import org.foxtailmoor.standins.measure.MeasureProgram;
import org.foxtailmoor.standins.platform.PlatformProgram;
import org.foxtailmoor.standins.target.TargetProgram;

/**
 * Entry point of {@code foxtailmoor-standins}: the first argument names the command, and each
 * command parses the rest with args4j.
 */
public final class StandinsMain {
    private static final Map<String, Supplier<Program>> COMMANDS =
            new TreeMap<>(
                    Map.of(
                            "platform", PlatformProgram::new,
                            "target", TargetProgram::new,
                            "load", LoadProgram::new,
                            "demo", DemoProgram::new,
                            "measure", MeasureProgram::new));

    private StandinsMain() {}

    /** Runs a command and exits with its code. */
    public static void main(String[] arguments) {
        System.exit(execute(arguments));
    }

    /** Runs a command and returns its exit code. */
    static int execute(String... arguments) {
        Supplier<Program> command = arguments.length == 0 ? null : COMMANDS.get(arguments[0]);
        if (command == null) {
            System.err.println("usage: foxtailmoor-standins " + COMMANDS.keySet() + " [options]");
            return ErrorKind.USAGE.exitCode();
        }
        return command.get().execute(Arrays.copyOfRange(arguments, 1, arguments.length));
    }

    /**
     * Waits until the process is told to end (SIGTERM or SIGINT), then closes a server.
     *
     * @param server server that runs in the background, not null
     * @return exit code
     */
    public static int runUntilTerminated(AutoCloseable server) {
        CountDownLatch terminated = new CountDownLatch(1);
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> {
                                    close(server);
                                    terminated.countDown();
                                }));
        try {
            terminated.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return Program.EXIT_CODE_SUCCESS;
    }

    private static void close(AutoCloseable server) {
        try {
            server.close();
        } catch (Exception e) {
            System.err.println("cannot close the server: " + e);
        }
    }
}
