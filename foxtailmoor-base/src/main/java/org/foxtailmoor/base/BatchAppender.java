package org.foxtailmoor.base;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.UnsynchronizedAppenderBase;
import ch.qos.logback.core.encoder.Encoder;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes log events in batches on a thread of its own. Logging never blocks: events that do not fit
 * into the queue are dropped and counted, and the count is written as soon as there is room.
 */
final class BatchAppender extends UnsynchronizedAppenderBase<ILoggingEvent> {
    /** Events that may wait; about 1 MB of text. */
    static final int QUEUE_EVENTS = 4_096;

    /** Time in which events are gathered into one write. */
    private static final long GATHERING_MILLISECONDS = 20;

    private static final long STOP_MILLISECONDS = 500;

    private final Encoder<ILoggingEvent> mEncoder;
    private final OutputStream mOutput;
    private final ArrayBlockingQueue<ILoggingEvent> mQueue = new ArrayBlockingQueue<>(QUEUE_EVENTS);
    private final AtomicLong mDropped = new AtomicLong();
    private final Thread mWriter = new Thread(this::write, "log");
    private volatile boolean mStopping;

    /**
     * Creates an appender, which must be started.
     *
     * @param encoder turns an event into a line, not null
     * @param output receives the lines, not null
     */
    BatchAppender(Encoder<ILoggingEvent> encoder, OutputStream output) {
        mEncoder = encoder;
        mOutput = output;
        mWriter.setDaemon(true);
    }

    @Override
    public void start() {
        super.start();
        mWriter.start();
    }

    /** Writes what waits, in at most half a second. */
    @Override
    public void stop() {
        super.stop();
        mStopping = true;
        mWriter.interrupt();
        try {
            mWriter.join(STOP_MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    protected void append(ILoggingEvent event) {
        event.prepareForDeferredProcessing();
        if (!mQueue.offer(event)) {
            mDropped.incrementAndGet();
        }
    }

    private void write() {
        try {
            while (!mStopping) {
                writeNextBatch();
            }
            writeWaiting();
        } catch (IOException e) {
            // Standard output is closed, so that there is nowhere to report to.
            mStopping = true;
        }
    }

    private void writeNextBatch() throws IOException {
        try {
            ILoggingEvent first = mQueue.poll(1, TimeUnit.SECONDS);
            if (first != null) {
                mOutput.write(mEncoder.encode(first));
                Thread.sleep(GATHERING_MILLISECONDS);
                writeWaiting();
            }
        } catch (InterruptedException e) {
            // The appender is stopped; the caller writes what is left.
            mStopping = true;
        }
    }

    private void writeWaiting() throws IOException {
        ILoggingEvent next = mQueue.poll();
        while (next != null) {
            mOutput.write(mEncoder.encode(next));
            next = mQueue.poll();
        }
        long dropped = mDropped.getAndSet(0);
        if (dropped > 0) {
            String line = "{\"level\":\"WARN\",\"droppedLogEvents\":" + dropped + "}\n";
            mOutput.write(line.getBytes(StandardCharsets.UTF_8));
        }
        mOutput.flush();
    }
}
