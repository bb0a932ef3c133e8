package org.foxtailmoor.node.control;

import com.codahale.metrics.Timer;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.base.FoxtailmoorException;
import org.foxtailmoor.core.routing.RoutingSnapshot;
import org.foxtailmoor.core.source.ItemStore;
import org.foxtailmoor.core.source.StoreSnapshotBuilder;
import org.foxtailmoor.core.source.StoreWatcher;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/**
 * Control plane of a node that reads the store directly: makes the calls that the {@link
 * StoreWatcher} schedules, and publishes a routing snapshot after each change. All work is done on
 * the control loop.
 */
public final class StoreControl {
    private static final Logger LOGGER = LoggerFactory.getLogger(StoreControl.class);

    /** Interval at which the expiry of backoffs and grace periods is checked. */
    private static final long TICK_INTERVAL_MILLISECONDS = 20;

    /** Receives the results on the control loop. */
    public interface Listener {
        /** Called with a snapshot that is newer than all earlier ones. */
        void onSnapshot(RoutingSnapshot snapshot);
    }

    private final EventLoop mLoop;
    private final ItemStore mStore;
    private final Duration mWatchTimeout;
    private final StoreWatcher mWatcher;
    private final StoreSnapshotBuilder mSnapshotBuilder;
    private final Timer mLoopDelay;
    private final Listener mListener;
    private boolean mReachable = true;
    private boolean mClosed;
    private long mNextTickNanoseconds;

    /**
     * Creates a control plane that is inactive until {@link #start()} is called. No argument may be
     * null.
     *
     * @param loop control loop
     * @param store store to read
     * @param watchTimeout maximum wait of a watch; an unresponsive connection is detected only
     *     after it
     * @param watcher schedules the calls
     * @param snapshotBuilder decodes the items into routing snapshots
     * @param loopDelay records by how much each tick of the control loop is late
     * @param listener receives the results
     */
    public StoreControl(
            EventLoop loop,
            ItemStore store,
            Duration watchTimeout,
            StoreWatcher watcher,
            StoreSnapshotBuilder snapshotBuilder,
            Timer loopDelay,
            Listener listener) {
        mLoop = loop;
        mStore = store;
        mWatchTimeout = watchTimeout;
        mWatcher = watcher;
        mSnapshotBuilder = snapshotBuilder;
        mLoopDelay = loopDelay;
        mListener = listener;
    }

    /** Starts reading the store. */
    public void start() {
        mNextTickNanoseconds = mLoop.ticker().nanoTime();
        mLoop.scheduleAtFixedRate(
                this::onTick, 0, TICK_INTERVAL_MILLISECONDS, TimeUnit.MILLISECONDS);
    }

    /** Stops making calls. The result of a call in progress is still processed. */
    public void close() {
        mLoop.execute(() -> mClosed = true);
    }

    /** Catches exceptions, because an exception would cancel all further executions of the tick. */
    private void onTick() {
        mLoopDelay.update(
                Math.max(0, mLoop.ticker().nanoTime() - mNextTickNanoseconds),
                TimeUnit.NANOSECONDS);
        mNextTickNanoseconds += TimeUnit.MILLISECONDS.toNanos(TICK_INTERVAL_MILLISECONDS);
        try {
            mWatcher.tick();
            publish();
            startNextCall();
        } catch (RuntimeException e) {
            LOGGER.error("a control tick failed", e);
        }
    }

    private void startNextCall() {
        if (mClosed) {
            return;
        }
        StoreWatcher.Call call = mWatcher.nextCall();
        long start = mLoop.ticker().nanoTime();
        if (call instanceof StoreWatcher.Call.ListAfter list) {
            mStore.list(list.key())
                    .whenCompleteAsync(
                            (page, failure) ->
                                    onResult(call, start, () -> mWatcher.onPage(page), failure),
                            mLoop);
        } else if (call instanceof StoreWatcher.Call.WatchAfter watch) {
            mStore.watch(watch.revision(), mWatchTimeout)
                    .whenCompleteAsync(
                            (changes, failure) ->
                                    onResult(
                                            call,
                                            start,
                                            () -> mWatcher.onChanges(changes),
                                            failure),
                            mLoop);
        }
    }

    private void onResult(
            StoreWatcher.Call call, long startNanoseconds, Runnable onSuccess, Throwable failure) {
        if (failure == null) {
            onSuccess.run();
            logIfReachableAgain();
        } else {
            Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
            boolean historyLost =
                    cause instanceof FoxtailmoorException exception
                            && exception.kind() == ErrorKind.PLATFORM_HISTORY_LOST;
            logFailure(call, startNanoseconds, cause, historyLost);
            mWatcher.onFailure(historyLost);
        }
        publish();
        startNextCall();
    }

    private void publish() {
        boolean changed = false;
        for (String key : mWatcher.takeChangedKeys()) {
            changed |= mSnapshotBuilder.update(key, mWatcher.item(key));
        }
        if (changed && mWatcher.isComplete() && mSnapshotBuilder.hasCatalogue()) {
            mListener.onSnapshot(mSnapshotBuilder.snapshot());
        }
    }

    private void logIfReachableAgain() {
        if (!mReachable) {
            mReachable = true;
            LOGGER.info("the store is reachable again");
        }
    }

    /** Logs each failed call; the backoffs of the {@link StoreWatcher} bound their number. */
    private void logFailure(
            StoreWatcher.Call call, long startNanoseconds, Throwable cause, boolean historyLost) {
        if (historyLost) {
            LOGGER.info(
                    "the store has discarded the revisions to watch from; listing all items again");
            return;
        }
        LOGGER.atLevel(mReachable ? Level.WARN : Level.INFO)
                .addKeyValue("call", call)
                .addKeyValue(
                        "milliseconds",
                        TimeUnit.NANOSECONDS.toMillis(mLoop.ticker().nanoTime() - startNanoseconds))
                .log("cannot read from the store: {}", cause.getMessage());
        mReachable = false;
    }
}
