package org.foxtailmoor.standins.fleet;

import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.base.FoxtailmoorException;

/** One process that this program started, with its log file. */
public final class ManagedProcess {
    private final String mName;
    private final Path mLog;
    private final Process mProcess;

    private ManagedProcess(String name, Path log, Process process) {
        mName = name;
        mLog = log;
        mProcess = process;
    }

    /**
     * Starts a process.
     *
     * @param name name for messages and the log file
     * @param directory directory of the log file, must exist
     * @param command program and arguments
     * @throws FoxtailmoorException of kind INTERNAL if it cannot be started
     */
    public static ManagedProcess start(String name, Path directory, List<String> command) {
        Path log = directory.resolve(name + ".log");
        File output = log.toFile();
        try {
            Process process =
                    new ProcessBuilder(command)
                            .redirectErrorStream(true)
                            .redirectOutput(output)
                            .start();
            return new ManagedProcess(name, log, process);
        } catch (IOException e) {
            throw FoxtailmoorException.of(ErrorKind.INTERNAL, "cannot start " + command, e);
        }
    }

    /** Returns the name. */
    public String name() {
        return mName;
    }

    /** Returns the log file. */
    public Path log() {
        return mLog;
    }

    /** Returns the process id. */
    public long pid() {
        return mProcess.pid();
    }

    /** Returns whether the process runs. */
    public boolean isAlive() {
        return mProcess.isAlive();
    }

    /** Asks the process to end (SIGTERM) without waiting. */
    public void terminate() {
        mProcess.destroy();
    }

    /** Ends the process at once (SIGKILL), as a failure would. */
    public void kill() {
        mProcess.destroyForcibly();
    }

    /**
     * Waits for the end of the process, and kills it if it takes longer.
     *
     * @param seconds longest wait, above 0
     * @return whether it ended by itself
     */
    public boolean awaitEnd(long seconds) {
        try {
            if (mProcess.waitFor(seconds, TimeUnit.SECONDS)) {
                return true;
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        mProcess.destroyForcibly();
        return false;
    }

    /** Waits for the end of a command and returns its exit code. */
    public int awaitExitCode(long seconds) {
        return awaitEnd(seconds) ? mProcess.exitValue() : ErrorKind.INTERNAL.exitCode();
    }
}
