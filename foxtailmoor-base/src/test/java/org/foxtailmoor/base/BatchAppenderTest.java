package org.foxtailmoor.base;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class BatchAppenderTest {
    private final LoggerContext mContext = new LoggerContext();

    /** Output whose writes block until it is opened. */
    private static final class BlockedOutput extends OutputStream {
        private final CountDownLatch mOpened = new CountDownLatch(1);
        private final ByteArrayOutputStream mWritten = new ByteArrayOutputStream();

        @Override
        public void write(int value) {
            write(new byte[] {(byte) value}, 0, 1);
        }

        @Override
        public void write(byte[] bytes, int offset, int length) {
            try {
                mOpened.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            mWritten.write(bytes, offset, length);
        }

        String text() {
            return mWritten.toString(StandardCharsets.UTF_8);
        }
    }

    private BatchAppender start(OutputStream output) {
        mContext.setMDCAdapter(new LogbackMDCAdapter());
        BatchAppender appender =
                new BatchAppender(JsonLogConfigurator.startedEncoder(mContext), output);
        appender.setContext(mContext);
        appender.start();
        return appender;
    }

    private ILoggingEvent event(String message) {
        return new LoggingEvent(
                "test", mContext.getLogger("test"), Level.INFO, message, null, new Object[0]);
    }

    /** Guards against a node that blocks because its log output is not read. */
    @Test
    void blockedOutputDropsAndCountsEvents() {
        BlockedOutput output = new BlockedOutput();
        BatchAppender appender = start(output);
        int events = 2 * BatchAppender.QUEUE_CAPACITY;
        for (int i = 0; i < events; i++) {
            appender.doAppend(event("event " + i));
        }
        output.mOpened.countDown();
        appender.stop();
        assertThat(output.text()).contains("event 0").contains("\"droppedLogEvents\":");
    }

    /** Guards against losing the last log events of a process. */
    @Test
    void stopWritesQueuedEvents() {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        BatchAppender appender = start(output);
        appender.doAppend(event("last event"));
        appender.stop();
        assertThat(output.toString(StandardCharsets.UTF_8)).contains("last event");
    }
}
