package org.foxtailmoor.status;

import io.netty.util.concurrent.Ticker;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.base.FoxtailmoorException;

/** Queries nodes in parallel and repeats the query while their versions differ. */
public final class FleetPoller {
    private static final long POLL_INTERVAL_MILLISECONDS = 200;

    private final NodeClient mClient;
    private final Ticker mTicker;

    /**
     * Creates a poller.
     *
     * @param client client, not null
     * @param ticker clock that measures and delays the polling, not null
     */
    public FleetPoller(NodeClient client, Ticker ticker) {
        mClient = client;
        mTicker = ticker;
    }

    /**
     * Polls until the versions agree or the limit has passed, and returns the last answers. A node
     * that does not respond does not prolong the polling.
     *
     * @param nodes addresses, not null
     * @param limitMilliseconds time for which versions may differ, at least 0
     * @throws FoxtailmoorException of kind INTERNAL if the thread is interrupted
     */
    public FleetStatus poll(List<NodeAddress> nodes, long limitMilliseconds) {
        long start = mTicker.nanoTime();
        FleetStatus status = queryAll(nodes, start);
        while (!status.isAgreed() && status.elapsedMilliseconds() < limitMilliseconds) {
            long remaining = limitMilliseconds - status.elapsedMilliseconds();
            sleep(Math.min(POLL_INTERVAL_MILLISECONDS, remaining));
            status = queryAll(nodes, start);
        }
        return status;
    }

    private FleetStatus queryAll(List<NodeAddress> nodes, long startNanoseconds) {
        List<CompletableFuture<NodeAnswer>> pending = new ArrayList<>();
        for (NodeAddress node : nodes) {
            pending.add(
                    mClient.get(node, "/status")
                            .thenApply(body -> NodeAnswer.of(node, body))
                            .exceptionally(failure -> NodeAnswer.ofError(node, reason(failure))));
        }
        List<NodeAnswer> answers = new ArrayList<>();
        for (CompletableFuture<NodeAnswer> answer : pending) {
            answers.add(answer.join());
        }
        long elapsed = mTicker.nanoTime() - startNanoseconds;
        return new FleetStatus(answers, TimeUnit.NANOSECONDS.toMillis(elapsed));
    }

    private static String reason(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return String.valueOf(cause.getMessage());
    }

    private void sleep(long milliseconds) {
        try {
            mTicker.sleep(milliseconds, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw FoxtailmoorException.of(ErrorKind.INTERNAL, "interrupted while polling", e);
        }
    }
}
