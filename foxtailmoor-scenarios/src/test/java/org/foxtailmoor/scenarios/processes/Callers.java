package org.foxtailmoor.scenarios.processes;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.foxtailmoor.standins.http.HttpCaller;
import org.foxtailmoor.standins.http.OutgoingCall;
import org.foxtailmoor.standins.load.LoadRequest;

/** Sends requests to caller ports and records the outcome of each attempt. */
final class Callers implements AutoCloseable {
    private static final int CONNECTIONS = 256;

    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpCaller mCaller = HttpCaller.of(mGroup, CONNECTIONS);
    private final List<CallRecord> mHistory = new CopyOnWriteArrayList<>();
    private final AtomicInteger mPendingAttempts = new AtomicInteger();

    /** Sends one attempt; the result never completes exceptionally. */
    CompletableFuture<CallRecord> send(
            LoadRequest request, InetSocketAddress entry, Map<String, String> headers) {
        OutgoingCall base = request.callTo(entry);
        Map<String, String> allHeaders = new HashMap<>(base.headers());
        allHeaders.putAll(headers);
        OutgoingCall call =
                new OutgoingCall(
                        entry,
                        base.method(),
                        base.uri(),
                        allHeaders,
                        base.body(),
                        base.timeoutMilliseconds());
        long sentNanoseconds = System.nanoTime();
        mPendingAttempts.incrementAndGet();
        return mCaller.call(call)
                .handle(
                        (answer, failure) -> {
                            CallRecord record =
                                    new CallRecord(
                                            request, entry, sentNanoseconds, answer, failure);
                            mHistory.add(record);
                            mPendingAttempts.decrementAndGet();
                            return record;
                        });
    }

    /** Returns the attempts that have ended. */
    List<CallRecord> history() {
        return List.copyOf(mHistory);
    }

    /** Returns the number of attempts without an answer or failure. */
    int pendingAttempts() {
        return mPendingAttempts.get();
    }

    @Override
    public void close() {
        mCaller.close();
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
