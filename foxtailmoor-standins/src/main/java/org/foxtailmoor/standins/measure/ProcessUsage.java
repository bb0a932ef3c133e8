package org.foxtailmoor.standins.measure;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Use of processor and memory by one process, from {@code /proc}.
 *
 * @param cpuSeconds processor time since the start of the process
 * @param residentMebibytes resident memory
 */
record ProcessUsage(double cpuSeconds, double residentMebibytes) {
    /** Clock ticks per second in /proc/pid/stat, USER_HZ, which is 100 on Linux. */
    private static final double TICKS_PER_SECOND = 100;

    /** Index of the user time among the fields after the command name; the system time follows. */
    private static final int USER_TIME_FIELD = 11;

    private static final double KIBIBYTES_PER_MEBIBYTE = 1_024;

    /** Reads the use of a process that runs. */
    static ProcessUsage of(long pid) {
        Path directory = Path.of("/proc", Long.toString(pid));
        try {
            String stat = Files.readString(directory.resolve("stat"));
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            double ticks =
                    Double.parseDouble(fields[USER_TIME_FIELD])
                            + Double.parseDouble(fields[USER_TIME_FIELD + 1]);
            String resident =
                    Files.readAllLines(directory.resolve("status")).stream()
                            .filter(line -> line.startsWith("VmRSS:"))
                            .findFirst()
                            .orElseThrow();
            double kibibytes = Double.parseDouble(resident.replaceAll("[^0-9]", ""));
            return new ProcessUsage(ticks / TICKS_PER_SECOND, kibibytes / KIBIBYTES_PER_MEBIBYTE);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
