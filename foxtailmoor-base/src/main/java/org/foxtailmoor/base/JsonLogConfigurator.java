package org.foxtailmoor.base;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.Appender;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;
import java.io.BufferedOutputStream;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.OutputStream;
import java.time.Duration;
import org.slf4j.LoggerFactory;

/**
 * Configures Logback to write one JSON object per line. Logback loads it as a service.
 *
 * <p>Command-line programs log to standard error, because standard output has their results. A
 * long-running program sets the system property {@code foxtailmoor.log.output} to {@code batch},
 * and its lines go to standard output without blocking it. The system property {@code
 * foxtailmoor.log.level} sets the level, INFO by default. The configuration is code because
 * Logback's XML configuration loads an XML parser, which costs memory that a node does not have.
 */
public final class JsonLogConfigurator extends ContextAwareBase implements Configurator {
    /** System property with the minimum level that is logged. */
    public static final String LEVEL_PROPERTY = "foxtailmoor.log.level";

    /** System property that selects the output. */
    public static final String OUTPUT_PROPERTY = "foxtailmoor.log.output";

    /** Value of the output property of long-running programs. */
    public static final String OUTPUT_BATCH = "batch";

    /** Longest duration of {@link #flush}. */
    public static final Duration MAX_FLUSH_TIME = BatchAppender.STOP_TIMEOUT;

    private static final String STANDARD_ERROR = "System.err";
    private static final int OUTPUT_BUFFER_BYTES = 16_384;

    /** Writes the queued events and stops logging. To be called before the process exits. */
    public static void flush() {
        if (LoggerFactory.getILoggerFactory() instanceof LoggerContext context) {
            context.stop();
        }
    }

    @Override
    public ExecutionStatus configure(LoggerContext context) {
        boolean batch = OUTPUT_BATCH.equals(System.getProperty(OUTPUT_PROPERTY));
        Appender<ILoggingEvent> appender = batch ? batchAppender(context) : errorAppender(context);
        appender.setContext(context);
        appender.start();
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.toLevel(System.getProperty(LEVEL_PROPERTY), Level.INFO));
        root.addAppender(appender);
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }

    private static Appender<ILoggingEvent> batchAppender(LoggerContext context) {
        OutputStream output =
                new BufferedOutputStream(
                        new FileOutputStream(FileDescriptor.out), OUTPUT_BUFFER_BYTES);
        return new BatchAppender(startedEncoder(context), output);
    }

    private static Appender<ILoggingEvent> errorAppender(LoggerContext context) {
        ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
        appender.setName("stderr");
        appender.setTarget(STANDARD_ERROR);
        appender.setEncoder(startedEncoder(context));
        return appender;
    }

    /** Creates and starts the JSON encoder that all outputs use. */
    static JsonEncoder startedEncoder(LoggerContext context) {
        JsonEncoder encoder = new JsonEncoder();
        encoder.setContext(context);
        encoder.setWithSequenceNumber(false);
        encoder.setWithNanoseconds(false);
        encoder.setWithThreadName(false);
        encoder.setWithContext(false);
        encoder.setWithMarkers(false);
        encoder.setWithMDC(false);
        encoder.setWithArguments(false);
        encoder.setWithMessage(false);
        encoder.setWithFormattedMessage(true);
        encoder.start();
        return encoder;
    }
}
