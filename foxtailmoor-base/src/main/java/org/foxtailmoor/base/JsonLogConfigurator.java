package org.foxtailmoor.base;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;

/**
 * Configures Logback to write one JSON object a line to standard error. Found by Logback as a
 * service.
 *
 * <p>The system property {@code foxtailmoor.log.level} sets the level, INFO by default. The
 * configuration is code because Logback's XML configuration loads an XML parser, which costs memory
 * that a node does not have.
 */
public final class JsonLogConfigurator extends ContextAwareBase implements Configurator {
    /** System property with the least level that is logged. */
    public static final String LEVEL_PROPERTY = "foxtailmoor.log.level";

    private static final String STANDARD_ERROR = "System.err";

    @Override
    public ExecutionStatus configure(LoggerContext context) {
        ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
        appender.setContext(context);
        appender.setName("stderr");
        appender.setTarget(STANDARD_ERROR);
        appender.setEncoder(startedEncoder(context));
        appender.start();
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.toLevel(System.getProperty(LEVEL_PROPERTY), Level.INFO));
        root.addAppender(appender);
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }

    private static JsonEncoder startedEncoder(LoggerContext context) {
        JsonEncoder encoder = new JsonEncoder();
        encoder.setContext(context);
        encoder.setWithSequenceNumber(false);
        encoder.setWithNanoseconds(false);
        encoder.setWithThreadName(false);
        encoder.setWithContext(false);
        encoder.setWithArguments(false);
        encoder.setWithMessage(false);
        encoder.setWithFormattedMessage(true);
        encoder.start();
        return encoder;
    }
}
