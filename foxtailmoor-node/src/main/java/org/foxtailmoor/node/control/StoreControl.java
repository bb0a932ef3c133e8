package org.foxtailmoor.node.control;

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

/**
 * Control side of a node that reads a store itself: makes the calls that the follower decides on,
 * and hands on a routing snapshot after each change. Everything runs on the control loop.
 */
public final class StoreControl {
    private static final Logger LOGGER = LoggerFactory.getLogger(StoreControl.class);

    /** Interval in which backoffs and graces are looked at. */
    private static final long TICK_MILLISECONDS = 20;

    /** Receives the results, on the control loop. */
    public interface Listener {
        /** Takes a snapshot that is newer than every earlier one. */
        void onSnapshot(RoutingSnapshot snapshot);
    }

    private final EventLoop mLoop;
    private final ItemStore mStore;
    private final Duration mWatchWait;
    private final StoreWatcher mFollower;
    private final StoreSnapshotBuilder mState;
    private final Listener mListener;
    private boolean mReachable = true;
    private boolean mClosed;

    /**
     * Creates the control side, which does nothing before {@link #start()}. No argument may be
     * null.
     *
     * @param loop control loop
     * @param store store to read
     * @param watchWait longest wait of a watch; a connection that went silent is noticed after it
     * @param follower decides on the calls
     * @param state decodes the items
     * @param listener receives the results
     */
    public StoreControl(
            EventLoop loop,
            ItemStore store,
            Duration watchWait,
            StoreWatcher follower,
            StoreSnapshotBuilder state,
            Listener listener) {
        mLoop = loop;
        mStore = store;
        mWatchWait = watchWait;
        mFollower = follower;
        mState = state;
        mListener = listener;
    }

    /** Starts to read the store. */
    public void start() {
        mLoop.scheduleAtFixedRate(this::onTick, 0, TICK_MILLISECONDS, TimeUnit.MILLISECONDS);
    }

    /** Makes no call any more. */
    public void close() {
        mLoop.execute(() -> mClosed = true);
    }

    /** Runs the systems; a failure of one tick must not end the ticks that follow. */
    private void onTick() {
        try {
            mFollower.tick();
            publish();
            callNext();
        } catch (RuntimeException e) {
            LOGGER.error("a control tick failed", e);
        }
    }

    private void callNext() {
        if (mClosed) {
            return;
        }
        StoreWatcher.Call call = mFollower.nextCall();
        if (call instanceof StoreWatcher.Call.ListAfter list) {
            mStore.list(list.key())
                    .whenCompleteAsync(
                            (page, failure) -> onResult(() -> mFollower.onPage(page), failure),
                            mLoop);
        } else if (call instanceof StoreWatcher.Call.WatchAfter watch) {
            mStore.watch(watch.revision(), mWatchWait)
                    .whenCompleteAsync(
                            (changes, failure) ->
                                    onResult(() -> mFollower.onChanges(changes), failure),
                            mLoop);
        }
    }

    private void onResult(Runnable take, Throwable failure) {
        if (failure == null) {
            take.run();
            reportReachable();
        } else {
            Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
            boolean historyLost =
                    cause instanceof FoxtailmoorException exception
                            && exception.kind() == ErrorKind.PLATFORM_HISTORY_LOST;
            reportUnreachable(cause, historyLost);
            mFollower.onFailure(historyLost);
        }
        publish();
        callNext();
    }

    private void publish() {
        boolean changed = false;
        for (String key : mFollower.takeChangedKeys()) {
            changed |= mState.update(key, mFollower.item(key));
        }
        if (changed && mFollower.isComplete() && mState.hasCatalogue()) {
            mListener.onSnapshot(mState.snapshot());
        }
    }

    private void reportReachable() {
        if (!mReachable) {
            mReachable = true;
            LOGGER.info("the store answers again");
        }
    }

    private void reportUnreachable(Throwable cause, boolean historyLost) {
        if (historyLost) {
            LOGGER.info("the store has discarded its history; reading it anew");
        } else if (mReachable) {
            mReachable = false;
            LOGGER.warn("the store does not answer: {}", cause.getMessage());
        }
    }
}
