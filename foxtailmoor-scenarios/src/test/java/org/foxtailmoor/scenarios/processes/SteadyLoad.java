package org.foxtailmoor.scenarios.processes;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.foxtailmoor.standins.load.LoadKind;
import org.foxtailmoor.standins.load.LoadRequest;
import org.foxtailmoor.standins.load.Verdict;

/** Sends requests at a constant rate, round-robin over the caller ports. */
final class SteadyLoad implements AutoCloseable {
    private static final int MAXIMUM_ATTEMPTS = 8;
    private static final long RETRY_DELAY_MILLISECONDS = 400;
    private static final int STATUS_CONFLICT = 409;
    private static final long DRAIN_TIMEOUT_SECONDS = 30;

    private final Callers mCallers;
    private final List<InetSocketAddress> mEntries;
    private final boolean mRetrying;
    private final AtomicInteger mNextEntry = new AtomicInteger();
    private final AtomicInteger mPendingRequests = new AtomicInteger();
    private final ScheduledExecutorService mSender = Executors.newSingleThreadScheduledExecutor();

    /**
     * Creates a load that sends nothing yet.
     *
     * @param retrying whether failed requests with an idempotency key are retried with that key
     */
    SteadyLoad(Callers callers, List<InetSocketAddress> entries, boolean retrying) {
        mCallers = callers;
        mEntries = new CopyOnWriteArrayList<>(entries);
        mRetrying = retrying;
    }

    /** Starts sending requests of one kind at the rate of that kind. */
    void start(LoadKind kind, Map<String, String> headers) {
        long interval = (long) (TimeUnit.SECONDS.toNanos(1) / kind.ratePerSecond());
        mSender.scheduleAtFixedRate(
                () -> {
                    mPendingRequests.incrementAndGet();
                    attempt(LoadRequest.create(kind), headers, 1);
                },
                0,
                interval,
                TimeUnit.NANOSECONDS);
    }

    /** Stops sending new requests and waits for the answers to the earlier ones. */
    void stop() {
        close();
        Poll.until(
                "every request has ended",
                DRAIN_TIMEOUT_SECONDS,
                () -> mPendingRequests.get() <= 0);
    }

    /** Stops sending new requests; retries of earlier ones continue. */
    @Override
    public void close() {
        mSender.shutdown();
    }

    private void attempt(LoadRequest request, Map<String, String> headers, int number) {
        InetSocketAddress entry = mEntries.get(mNextEntry.getAndIncrement() % mEntries.size());
        LoadRequest numbered = CallRecord.attempt(request, number);
        mCallers.send(numbered, entry, headers)
                .thenAccept(
                        record -> {
                            removeClosingEntry(record);
                            if (shouldRetry(record) && number < MAXIMUM_ATTEMPTS) {
                                // Not on the sender, which rejects tasks after its shutdown.
                                CompletableFuture.delayedExecutor(
                                                RETRY_DELAY_MILLISECONDS, TimeUnit.MILLISECONDS)
                                        .execute(() -> attempt(request, headers, number + 1));
                            } else {
                                mPendingRequests.decrementAndGet();
                            }
                        });
    }

    /** Stops using an entry node that announces the end of the connection. */
    private void removeClosingEntry(CallRecord record) {
        boolean closing =
                record.answer() != null
                        && record.answer().header("Connection").equalsIgnoreCase("close");
        if (closing && mEntries.size() > 1) {
            mEntries.remove(record.entry());
        }
    }

    private boolean shouldRetry(CallRecord record) {
        if (!mRetrying || record.request().key() == null || record.verdict() == Verdict.RIGHT) {
            return false;
        }
        return record.answer() == null || record.answer().status() != STATUS_CONFLICT;
    }
}
