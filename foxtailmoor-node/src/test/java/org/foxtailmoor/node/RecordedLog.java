package org.foxtailmoor.node;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.slf4j.LoggerFactory;
import org.slf4j.event.KeyValuePair;

/** Records the lines of one logger until it is closed. */
public final class RecordedLog extends AppenderBase<ILoggingEvent> implements AutoCloseable {
    private final List<ILoggingEvent> mEvents = new CopyOnWriteArrayList<>();
    private final Logger mLogger;

    /** Starts recording a logger. */
    public RecordedLog(String logger) {
        mLogger = (Logger) LoggerFactory.getLogger(logger);
        start();
        mLogger.addAppender(this);
    }

    @Override
    protected void append(ILoggingEvent event) {
        mEvents.add(event);
    }

    /** Returns the lines whose message starts with a text. */
    public List<ILoggingEvent> lines(String start) {
        return mEvents.stream()
                .filter(event -> event.getFormattedMessage().startsWith(start))
                .toList();
    }

    /** Returns a value of a line as text, or null if absent. */
    public static String value(ILoggingEvent event, String key) {
        for (KeyValuePair pair : event.getKeyValuePairs()) {
            if (pair.key.equals(key)) {
                return String.valueOf(pair.value);
            }
        }
        return null;
    }

    @Override
    public void close() {
        mLogger.detachAppender(this);
    }
}
