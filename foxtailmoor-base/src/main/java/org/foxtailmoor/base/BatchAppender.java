package org.foxtailmoor.base;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.UnsynchronizedAppenderBase;
import ch.qos.logback.core.encoder.Encoder;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes log events in batches on a thread of its own. Logging never blocks: events that do not fit
 * into the queue are dropped and counted, and the count is written after the next batch.
 */
final class BatchAppender extends UnsynchronizedAppenderBase<ILoggingEvent> {
    /** Capacity of the queue; about 1 MB of text. */
    static final int QUEUE_CAPACITY = 4_096;

    /** Time for which events are batched into one write. */
    private static final long BATCHING_MILLISECONDS = 20;

    /** Longest wait for the writer thread when the appender stops. */
    static final Duration STOP_TIMEOUT = Duration.ofMillis(150);

    private final Encoder<ILoggingEvent> mEncoder;
    private final OutputStream mOutput;
    private final ArrayBlockingQueue<ILoggingEvent> mQueue =
            new ArrayBlockingQueue<>(QUEUE_CAPACITY);
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

    /** Writes the queued events, waiting at most 150 ms for the writer thread. */
    @Override
    public void stop() {
        super.stop();
        mStopping = true;
        mWriter.interrupt();
        try {
            mWriter.join(STOP_TIMEOUT.toMillis());
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
            writeQueued();
        } catch (IOException e) {
            // The output is closed, so the failure cannot be logged.
            mStopping = true;
        }
    }

    private void writeNextBatch() throws IOException {
        try {
            ILoggingEvent first = mQueue.poll(1, TimeUnit.SECONDS);
            if (first != null) {
                mOutput.write(mEncoder.encode(first));
                Thread.sleep(BATCHING_MILLISECONDS);
                writeQueued();
            }
        } catch (InterruptedException e) {
            // The appender was stopped; write() writes the remaining events.
            mStopping = true;
        }
    }

    private void writeQueued() throws IOException {
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
