package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Log of a case: what was sent, answered and run, with the time since the start. */
final class Record implements AutoCloseable {
    private final PrintWriter mWriter;
    private final long mStartNanoseconds = System.nanoTime();

    Record(Path file) {
        try {
            mWriter = new PrintWriter(Files.newBufferedWriter(file));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    synchronized void line(String format, Object... values) {
        double seconds = (System.nanoTime() - mStartNanoseconds) / 1e9;
        mWriter.printf("%8.3f %s%n", seconds, format.formatted(values));
        mWriter.flush();
    }

    /** Writes a line to the record and to standard output. */
    void result(String format, Object... values) {
        line(format, values);
        System.out.println(format.formatted(values));
    }

    @Override
    public synchronized void close() {
        mWriter.close();
    }
}
