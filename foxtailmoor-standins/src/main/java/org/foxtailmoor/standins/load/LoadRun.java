package org.foxtailmoor.standins.load;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.foxtailmoor.standins.http.CallFailure;
import org.foxtailmoor.standins.http.HttpAnswer;
import org.foxtailmoor.standins.http.HttpCaller;

/**
 * Sends a load at arrival times that are fixed beforehand. A slow answer delays no later request,
 * and each latency counts from the planned arrival, so that waiting is never left out.
 */
public final class LoadRun {
    private static final int THREADS = 2;
    private static final int MAXIMUM_CONNECTIONS = 1_024;
    private static final long GRACE_MILLISECONDS = 2_000;
    private static final long POLL_NANOSECONDS = 1_000_000;

    private final List<InetSocketAddress> mAddresses;
    private final Duration mWarmup;
    private final Duration mDuration;
    private final PriorityQueue<Arrivals> mArrivals =
            new PriorityQueue<>(Comparator.comparingLong(arrivals -> arrivals.mNextNanoseconds));
    private final List<KindResult> mResults = new ArrayList<>();
    private final AtomicLong mInFlight = new AtomicLong();
    private long mStartNanoseconds;
    private int mNextAddress;

    /** The evenly spaced arrivals of one kind. */
    private static final class Arrivals {
        private final KindResult mResult;
        private final double mIntervalNanoseconds;
        private long mIndex;
        private long mNextNanoseconds;

        Arrivals(KindResult result) {
            mResult = result;
            mIntervalNanoseconds = TimeUnit.SECONDS.toNanos(1) / result.kind().ratePerSecond();
        }

        void advance() {
            mIndex++;
            mNextNanoseconds = (long) (mIndex * mIntervalNanoseconds);
        }
    }

    /**
     * Prepares a run.
     *
     * @param kinds kinds of requests, each at its own rate
     * @param addresses addresses that take the requests in turn, at least one
     * @param warmup time at the start whose requests are sent but not counted
     * @param duration time after it, above 0
     */
    public LoadRun(
            List<LoadKind> kinds,
            List<InetSocketAddress> addresses,
            Duration warmup,
            Duration duration) {
        mAddresses = List.copyOf(addresses);
        mWarmup = warmup;
        mDuration = duration;
        for (LoadKind kind : kinds) {
            KindResult result = new KindResult(kind);
            mResults.add(result);
            mArrivals.add(new Arrivals(result));
        }
    }

    /** Returns the results by kind, in the order of the kinds. */
    public List<KindResult> results() {
        return mResults;
    }

    /** Sends the whole load and waits for its answers, at most until the last deadline. */
    public void run() {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(THREADS, NioIoHandler.newFactory());
        try (HttpCaller caller = HttpCaller.of(group, MAXIMUM_CONNECTIONS)) {
            mStartNanoseconds = System.nanoTime();
            long end = mWarmup.plus(mDuration).toNanos();
            while (mArrivals.peek().mNextNanoseconds < end) {
                Arrivals next = mArrivals.remove();
                waitUntil(mStartNanoseconds + next.mNextNanoseconds);
                send(caller, next.mResult, next.mNextNanoseconds);
                next.advance();
                mArrivals.add(next);
            }
            awaitAnswers();
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    private void send(HttpCaller caller, KindResult result, long plannedNanoseconds) {
        LoadRequest request = LoadRequest.create(result.kind());
        InetSocketAddress address = mAddresses.get(mNextAddress);
        mNextAddress = (mNextAddress + 1) % mAddresses.size();
        boolean counted = plannedNanoseconds >= mWarmup.toNanos();
        if (counted) {
            result.addSent();
        }
        mInFlight.incrementAndGet();
        caller.call(request.callTo(address))
                .whenComplete(
                        (answer, failure) -> {
                            long latency =
                                    System.nanoTime() - mStartNanoseconds - plannedNanoseconds;
                            Verdict verdict = Verdict.of(request, answer, failure);
                            if (counted) {
                                String error = errorOf(verdict, answer, failure);
                                result.add(request, verdict, error, latency);
                            }
                            mInFlight.decrementAndGet();
                        });
    }

    private static String errorOf(Verdict verdict, HttpAnswer answer, Throwable failure) {
        if (verdict == Verdict.RIGHT) {
            return "";
        }
        if (failure != null) {
            return failure instanceof CallFailure call ? call.reason().name() : failure.toString();
        }
        String kind = answer.header("Foxtailmoor-Error");
        return answer.status() + (kind.isEmpty() ? "" : " " + kind);
    }

    private static void waitUntil(long nanoTime) {
        long left = nanoTime - System.nanoTime();
        while (left > 0) {
            LockSupport.parkNanos(left);
            left = nanoTime - System.nanoTime();
        }
    }

    private void awaitAnswers() {
        long longest =
                mResults.stream()
                        .mapToLong(result -> result.kind().deadlineMilliseconds())
                        .max()
                        .orElse(0);
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(longest + GRACE_MILLISECONDS);
        while (mInFlight.get() > 0) {
            if (System.nanoTime() > end) {
                throw new IllegalStateException(
                        mInFlight.get() + " requests without end after their deadline");
            }
            LockSupport.parkNanos(POLL_NANOSECONDS);
        }
    }
}
