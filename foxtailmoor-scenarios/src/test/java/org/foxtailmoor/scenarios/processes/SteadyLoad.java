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

/** Sends requests at a steady rate to the caller ports in turn. */
final class SteadyLoad implements AutoCloseable {
    private static final int MAXIMUM_ATTEMPTS = 8;
    private static final long REPEAT_MILLISECONDS = 400;
    private static final int STATUS_CONFLICT = 409;
    private static final long DRAIN_SECONDS = 30;

    private final Callers mCallers;
    private final List<InetSocketAddress> mEntries;
    private final boolean mRepeating;
    private final AtomicInteger mNext = new AtomicInteger();
    private final AtomicInteger mUnfinished = new AtomicInteger();
    private final ScheduledExecutorService mSender = Executors.newSingleThreadScheduledExecutor();

    /**
     * Creates a load that sends nothing yet.
     *
     * @param repeating whether unanswered and refused keyed requests are sent again with their key
     */
    SteadyLoad(Callers callers, List<InetSocketAddress> entries, boolean repeating) {
        mCallers = callers;
        mEntries = new CopyOnWriteArrayList<>(entries);
        mRepeating = repeating;
    }

    /** Starts sending one kind, at its rate. */
    void start(LoadKind kind, Map<String, String> headers) {
        long interval = (long) (TimeUnit.SECONDS.toNanos(1) / kind.ratePerSecond());
        mSender.scheduleAtFixedRate(
                () -> {
                    mUnfinished.incrementAndGet();
                    attempt(LoadRequest.create(kind), headers, 1);
                },
                0,
                interval,
                TimeUnit.NANOSECONDS);
    }

    /** Stops sending new requests and waits for the answers to the earlier ones. */
    void stop() {
        close();
        Poll.until("every request has ended", DRAIN_SECONDS, () -> mUnfinished.get() <= 0);
    }

    /** Stops sending new requests; repeats of earlier ones go on. */
    @Override
    public void close() {
        mSender.shutdown();
    }

    private void attempt(LoadRequest request, Map<String, String> headers, int number) {
        InetSocketAddress entry = mEntries.get(mNext.getAndIncrement() % mEntries.size());
        LoadRequest sent = CallRecord.attempt(request, number);
        mCallers.send(sent, entry, headers)
                .thenAccept(
                        record -> {
                            leaveEntryIfAsked(record);
                            if (isRepeated(record) && number < MAXIMUM_ATTEMPTS) {
                                // Not on the sender, which rejects tasks once it is shut down.
                                CompletableFuture.delayedExecutor(
                                                REPEAT_MILLISECONDS, TimeUnit.MILLISECONDS)
                                        .execute(() -> attempt(request, headers, number + 1));
                            } else {
                                mUnfinished.decrementAndGet();
                            }
                        });
    }

    /** A caller goes to other nodes once an answer says that its connection ends. */
    private void leaveEntryIfAsked(CallRecord record) {
        boolean closing =
                record.answer() != null
                        && record.answer().header("Connection").equalsIgnoreCase("close");
        if (closing && mEntries.size() > 1) {
            mEntries.remove(record.entry());
        }
    }

    private boolean isRepeated(CallRecord record) {
        if (!mRepeating || record.request().key() == null || record.verdict() == Verdict.RIGHT) {
            return false;
        }
        return record.answer() == null || record.answer().status() != STATUS_CONFLICT;
    }
}
