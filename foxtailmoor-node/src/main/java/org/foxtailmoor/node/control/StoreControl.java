package org.foxtailmoor.node.control;

import com.codahale.metrics.Timer;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.base.FoxtailmoorException;
import org.foxtailmoor.core.routing.RoutingSnapshot;
import org.foxtailmoor.core.source.EraChange;
import org.foxtailmoor.core.source.ItemStore;
import org.foxtailmoor.core.source.StoreItemBatch;
import org.foxtailmoor.core.source.StoreItemBatchCodec;
import org.foxtailmoor.core.source.StoreReplica;
import org.foxtailmoor.core.source.StoreSnapshotBuilder;
import org.foxtailmoor.core.source.StoreWatcher;
import org.foxtailmoor.protocol.generated.ItemResponse;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/**
 * Control plane of a node on a platform with a store: makes the calls that the {@link StoreReplica}
 * schedules, passes the items on to other nodes, and publishes a routing snapshot after each
 * change. All work is done on the control loop.
 */
public final class StoreControl {
    private static final Logger LOGGER = LoggerFactory.getLogger(StoreControl.class);

    /** Interval at which the expiry of backoffs and grace periods is checked. */
    static final long TICK_INTERVAL_MILLISECONDS = 20;

    /** Receives the results on the control loop. */
    public interface Listener {
        /** Called with a snapshot that is newer than all earlier ones. */
        void onSnapshot(RoutingSnapshot snapshot);
    }

    /**
     * Collaborators of a control plane. No component may be null.
     *
     * @param loop control loop
     * @param store store to read
     * @param peers other nodes to read
     * @param watchTimeout maximum wait of a call; an unresponsive connection is detected only after
     *     it
     * @param replica schedules the calls
     * @param feed passes the items on to other nodes
     * @param snapshotBuilder decodes the items into routing snapshots
     * @param loopDelay records by how much each tick of the control loop is late
     * @param listener receives the results
     */
    public record Dependencies(
            EventLoop loop,
            ItemStore store,
            PeerItems peers,
            Duration watchTimeout,
            StoreReplica replica,
            PeerFeed feed,
            StoreSnapshotBuilder snapshotBuilder,
            Timer loopDelay,
            Listener listener) {
        /** Checks that no component is null. */
        public Dependencies {
            Objects.requireNonNull(loop, "loop");
            Objects.requireNonNull(store, "store");
            Objects.requireNonNull(peers, "peers");
            Objects.requireNonNull(watchTimeout, "watchTimeout");
            Objects.requireNonNull(replica, "replica");
            Objects.requireNonNull(feed, "feed");
            Objects.requireNonNull(snapshotBuilder, "snapshotBuilder");
            Objects.requireNonNull(loopDelay, "loopDelay");
            Objects.requireNonNull(listener, "listener");
        }
    }

    /** A response of another node that takes longer, beyond the wait of its call, is late. */
    static final Duration EXPECTED_PEER_RESPONSE = Duration.ofMillis(400);

    /** The same for the store, which sends whole values. */
    static final Duration EXPECTED_STORE_RESPONSE = Duration.ofMillis(1_200);

    /** Pause after a snapshot whose receiver has failed. */
    static final long PUBLICATION_RETRY_MILLISECONDS = 1_000;

    private final EventLoop mLoop;
    private final ItemStore mStore;
    private final PeerItems mPeers;
    private final Duration mWait;
    private final StoreReplica mReplica;
    private final PeerFeed mFeed;
    private final StoreSnapshotBuilder mSnapshotBuilder;
    private final Timer mLoopDelay;
    private final Listener mListener;
    private long mNextTickNanoseconds;

    /** Whether the snapshot builder has changes that no published snapshot contains. */
    private boolean mUnpublished;

    private long mNextPublicationNanoseconds;
    private String mSource = "";
    private boolean mReachable = true;
    private boolean mClosed;

    /** Creates a control plane that is inactive until {@link #start()} is called. */
    public StoreControl(Dependencies dependencies) {
        mLoop = dependencies.loop();
        mStore = dependencies.store();
        mPeers = dependencies.peers();
        mWait = dependencies.watchTimeout();
        mReplica = dependencies.replica();
        mFeed = dependencies.feed();
        mSnapshotBuilder = dependencies.snapshotBuilder();
        mLoopDelay = dependencies.loopDelay();
        mListener = dependencies.listener();
    }

    /** Starts reading. */
    public void start() {
        mNextTickNanoseconds = mLoop.ticker().nanoTime();
        mNextPublicationNanoseconds = mNextTickNanoseconds;
        mLoop.scheduleAtFixedRate(
                this::onTick, 0, TICK_INTERVAL_MILLISECONDS, TimeUnit.MILLISECONDS);
    }

    /** Stops making calls. The result of a call in progress is still processed. */
    public void close() {
        // The reader of other nodes is confined to the loop.
        mLoop.execute(
                () -> {
                    mClosed = true;
                    mPeers.close();
                });
    }

    /** Catches exceptions, because an exception would cancel all further executions of the tick. */
    private void onTick() {
        mLoopDelay.update(
                Math.max(0, mLoop.ticker().nanoTime() - mNextTickNanoseconds),
                TimeUnit.NANOSECONDS);
        mNextTickNanoseconds += TimeUnit.MILLISECONDS.toNanos(TICK_INTERVAL_MILLISECONDS);
        try {
            mReplica.copy().tick();
            mFeed.tick();
            publish();
            startNextCall();
        } catch (RuntimeException e) {
            LOGGER.error("a control tick failed", e);
        }
    }

    private void startNextCall() {
        StoreReplica.Call call = mClosed ? null : mReplica.nextCall();
        try {
            start(call);
        } catch (RuntimeException e) {
            LOGGER.error("cannot start {}", call, e);
            mReplica.onFailure(false, false);
        }
    }

    private void start(StoreReplica.Call call) {
        if (call instanceof StoreReplica.Call.FindPeers) {
            await(new PendingCall(call), mStore.listInstances(), mReplica::onPeers);
        } else if (call instanceof StoreReplica.Call.ReadStore read) {
            logSource("the store");
            startStoreCall(read);
        } else if (call instanceof StoreReplica.Call.ReadPeer read) {
            logSource(read.host());
            startPeerCall(read);
        }
    }

    private void startStoreCall(StoreReplica.Call.ReadStore call) {
        PendingCall pending = new PendingCall(call);
        if (call.call() instanceof StoreWatcher.Call.ListAfter list) {
            scheduleLate(pending, EXPECTED_STORE_RESPONSE);
            await(
                    pending,
                    mStore.list(list.key()),
                    page -> {
                        if (mReplica.isLate(call)) {
                            mReplica.onLatePage(call, page);
                        } else {
                            mReplica.onPage(page);
                        }
                    });
        } else if (call.call() instanceof StoreWatcher.Call.WatchAfter watch) {
            scheduleLate(pending, mWait.plus(EXPECTED_STORE_RESPONSE));
            await(
                    pending,
                    mStore.watch(watch.position().revision(), mWait),
                    changes -> {
                        if (mReplica.isLate(call)) {
                            mReplica.onLateChanges(call, changes);
                        } else {
                            mReplica.onChanges(changes);
                        }
                    });
        }
    }

    private void startPeerCall(StoreReplica.Call.ReadPeer call) {
        PendingCall pending = new PendingCall(call);
        scheduleLate(pending, mWait.plus(EXPECTED_PEER_RESPONSE));
        Duration age = Duration.ofNanos(mReplica.copy().age());
        await(
                pending,
                mPeers.read(call.host(), call.after(), age, mWait),
                response -> onItemResponse(call, response));
    }

    private <T> void await(
            PendingCall pending, CompletableFuture<T> result, Consumer<T> onSuccess) {
        result.whenCompleteAsync(
                (value, failure) -> onResult(pending, value, failure, onSuccess), mLoop);
    }

    private void scheduleLate(PendingCall pending, Duration expected) {
        mLoop.schedule(() -> onLate(pending), expected.toNanos(), TimeUnit.NANOSECONDS);
    }

    /** Reads another source while a call takes long. */
    private void onLate(PendingCall pending) {
        if (pending.mEnded || mReplica.isLate(pending.mCall) || mClosed) {
            return;
        }
        LOGGER.atInfo()
                .addKeyValue("call", pending.mCall)
                .addKeyValue("ageMilliseconds", milliseconds(mReplica.copy().age()))
                .log("the response of {} is late", mSource);
        mReplica.onLate();
        startNextCall();
    }

    private <T> void onResult(
            PendingCall pending, T value, Throwable failure, Consumer<T> onSuccess) {
        pending.mEnded = true;
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause == null) {
            try {
                onSuccess.accept(value);
                logIfReachableAgain();
            } catch (FoxtailmoorException e) {
                cause = e;
            } catch (RuntimeException e) {
                // Without a result, the replica would wait for this call forever.
                LOGGER.error("cannot apply the result of {}", pending.mCall, e);
                cause = e;
            }
        }
        if (cause == null) {
            // Other nodes get the items before this node decodes them.
            mFeed.onSourceResponse();
        } else {
            onFailure(pending, cause);
        }
        publish();
        startNextCall();
    }

    private void onFailure(PendingCall pending, Throwable cause) {
        ErrorKind kind = cause instanceof FoxtailmoorException exception ? exception.kind() : null;
        boolean historyLost = kind == ErrorKind.PLATFORM_HISTORY_LOST;
        logFailure(pending, cause, historyLost);
        if (mReplica.isLate(pending.mCall)) {
            mReplica.onLateFailure(pending.mCall, historyLost);
        } else {
            mReplica.onFailure(historyLost, kind == ErrorKind.NOT_READY);
        }
    }

    private void onItemResponse(StoreReplica.Call.ReadPeer call, ItemResponse response) {
        StoreItemBatch batch =
                StoreItemBatchCodec.decode(
                        response.getBatch(), mReplica.copy()::item, mReplica.copy()::stateOf);
        long age = TimeUnit.MILLISECONDS.toNanos(response.getSourceAgeMilliseconds());
        if (mReplica.isLate(call)) {
            mReplica.onLateBatch(call, batch, age);
        } else {
            mReplica.onBatch(batch, age);
        }
    }

    /**
     * Publishes the changes as soon as the copy may be used. The response that completes it may
     * have no new item itself.
     */
    private void publish() {
        logEraChange(mReplica.copy().takeEraChange());
        if (applyChanges()) {
            mUnpublished = true;
            mReplica.setInstances(mSnapshotBuilder.instances());
        }
        long now = mLoop.ticker().nanoTime();
        boolean due = mUnpublished && now - mNextPublicationNanoseconds >= 0;
        if (!due || !mReplica.isInitialized() || !mSnapshotBuilder.hasCatalogue()) {
            return;
        }
        try {
            mListener.onSnapshot(mSnapshotBuilder.snapshot());
            mUnpublished = false;
        } catch (RuntimeException e) {
            LOGGER.error("cannot publish a snapshot", e);
            mNextPublicationNanoseconds =
                    now + TimeUnit.MILLISECONDS.toNanos(PUBLICATION_RETRY_MILLISECONDS);
        }
    }

    /** Passes the changed items to the builder and returns whether a new snapshot is needed. */
    private boolean applyChanges() {
        boolean changed = false;
        for (String key : mReplica.copy().takeChangedKeys()) {
            try {
                changed |= mSnapshotBuilder.update(key, mReplica.copy().item(key));
            } catch (RuntimeException e) {
                LOGGER.error("cannot apply the change of item {}", key, e);
                changed = true;
            }
        }
        return changed;
    }

    private void logSource(String source) {
        if (!mSource.equals(source)) {
            mSource = source;
            LOGGER.info(
                    "reading from {} with rank {} among {} nodes at revision {}",
                    source,
                    mReplica.order().rank(),
                    mReplica.order().fleetSize(),
                    mReplica.copy().position());
        }
    }

    private static void logEraChange(EraChange change) {
        if (change != null) {
            LOGGER.atWarn()
                    .addKeyValue("kept", change.kept())
                    .addKeyValue("awaited", change.awaited())
                    .addKeyValue("ignored", change.ignored())
                    .log(
                            "the copy has entered another era of the store: revision {} after {}",
                            change.to(),
                            change.from());
        }
    }

    private void logIfReachableAgain() {
        if (!mReachable) {
            mReachable = true;
            LOGGER.info("the source of items is reachable again");
        }
    }

    /** Logs each failed call; the pauses of the {@link StoreReplica} bound their number. */
    private void logFailure(PendingCall pending, Throwable cause, boolean historyLost) {
        if (historyLost) {
            LOGGER.info(
                    "{} has discarded the revisions to read from; reading all items again",
                    pending.mSource);
            return;
        }
        LOGGER.atLevel(mReachable ? Level.WARN : Level.INFO)
                .addKeyValue("call", pending.mCall)
                .addKeyValue("late", mReplica.isLate(pending.mCall))
                .addKeyValue(
                        "milliseconds",
                        milliseconds(mLoop.ticker().nanoTime() - pending.mStartNanoseconds))
                .log("cannot read from {}: {}", pending.mSource, cause.getMessage());
        mReachable = false;
    }

    private static long milliseconds(long nanoseconds) {
        return TimeUnit.NANOSECONDS.toMillis(nanoseconds);
    }

    /** Call whose result is pending. */
    private final class PendingCall {
        private final StoreReplica.Call mCall;
        private final String mSource = StoreControl.this.mSource;
        private final long mStartNanoseconds = mLoop.ticker().nanoTime();
        private boolean mEnded;

        PendingCall(StoreReplica.Call call) {
            mCall = call;
        }
    }
}
