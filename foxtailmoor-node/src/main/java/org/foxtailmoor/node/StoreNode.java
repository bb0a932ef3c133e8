package org.foxtailmoor.node;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.Ticker;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.foxtailmoor.base.FoxtailmoorException;
import org.foxtailmoor.catalogue.CatalogueSnapshot;
import org.foxtailmoor.core.routing.RoutingSnapshot;
import org.foxtailmoor.core.routing.SnapshotReference;
import org.foxtailmoor.core.source.ItemDecoder;
import org.foxtailmoor.core.source.ItemStore;
import org.foxtailmoor.core.source.StoreSnapshotBuilder;
import org.foxtailmoor.core.source.StoreWatcher;
import org.foxtailmoor.node.admin.AdminServer;
import org.foxtailmoor.node.admin.ExplainEndpoint;
import org.foxtailmoor.node.admin.HealthEndpoint;
import org.foxtailmoor.node.admin.MetricsEndpoint;
import org.foxtailmoor.node.control.StoreControl;
import org.foxtailmoor.node.data.DataPolicies;
import org.foxtailmoor.node.data.DataSide;
import org.foxtailmoor.node.trace.HopTracer;
import org.foxtailmoor.node.trace.Tracers;
import org.foxtailmoor.protocol.DocumentVersions;
import org.foxtailmoor.protocol.generated.Instance;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One running node that reads catalogue and instances from a store itself. It has the data side of
 * a {@link Node}, without control port and keys.
 */
public final class StoreNode {
    private static final Logger LOGGER = LoggerFactory.getLogger(StoreNode.class);
    private static final long LOOP_SHUTDOWN_SECONDS = 1;

    /**
     * What a node is built from; no component may be null.
     *
     * @param settings settings; those of the control port and the distribution are not used
     * @param readyAddress address that answers whether the node may get new work
     * @param metricsPort port that serves the metrics beside the admin port, 0 for none
     * @param policies decisions about requests
     * @param store creates the client of the store on event loops
     * @param decoder decodes the items of the store
     * @param watchWait longest wait of a watch of the store
     * @param removalGrace time for which an instance that was removed from the store gets work
     * @param changePause time for which changes in quick succession may be gathered
     * @param shutdownBound longest time of a graceful shutdown
     */
    public record Parts(
            NodeSettings settings,
            InetSocketAddress readyAddress,
            int metricsPort,
            DataPolicies policies,
            Function<EventLoopGroup, ItemStore> store,
            ItemDecoder decoder,
            Duration watchWait,
            Duration removalGrace,
            Duration changePause,
            Duration shutdownBound) {
        /** Checks that no component is null. */
        public Parts {
            Objects.requireNonNull(settings, "settings");
            Objects.requireNonNull(readyAddress, "readyAddress");
            Objects.requireNonNull(policies, "policies");
            Objects.requireNonNull(store, "store");
            Objects.requireNonNull(decoder, "decoder");
            Objects.requireNonNull(watchWait, "watchWait");
            Objects.requireNonNull(removalGrace, "removalGrace");
            Objects.requireNonNull(changePause, "changePause");
            Objects.requireNonNull(shutdownBound, "shutdownBound");
        }
    }

    private final Parts mParts;
    private final Ticker mTicker = Ticker.systemTicker();
    private final MetricRegistry mMetrics = new MetricRegistry();
    private final EventLoopGroup mControlLoops = newLoop("control");
    private final EventLoopGroup mDataLoops = newLoop("data");
    private final HopTracer mTracer;
    private final SnapshotReference<RoutingSnapshot> mSnapshots;
    private final CompletableFuture<Void> mEnded = new CompletableFuture<>();
    private StoreControl mControl;
    private DataSide mData;
    private AdminServer mAdmin;
    private AdminServer mReadyServer;
    private AdminServer mMetricsServer;
    private volatile boolean mServing;
    private volatile boolean mLeaving;

    private StoreNode(Parts parts) {
        mParts = parts;
        mTracer = Tracers.of(parts.settings());
        mSnapshots =
                SnapshotReference.of(
                        RoutingSnapshot.of(
                                CatalogueSnapshot.EMPTY, DocumentVersions.NONE, List.of()),
                        dropped -> {});
    }

    /**
     * Binds all ports and starts the node, which serves when it knows a catalogue.
     *
     * @param parts what the node is built from, not null
     * @throws org.foxtailmoor.base.FoxtailmoorException of kind ADDRESS_IN_USE if a port can't be
     *     bound
     */
    public static StoreNode start(Parts parts) {
        StoreNode node = new StoreNode(parts);
        try {
            node.open();
            return node;
        } catch (RuntimeException e) {
            node.closeAll();
            throw e;
        }
    }

    /** Returns the bound address of the caller port. */
    public InetSocketAddress callerAddress() {
        return mData.callerAddress();
    }

    /** Returns whether the node may get new work. */
    public boolean isReady() {
        return mServing && !mLeaving;
    }

    /** Completes when the node has ended. */
    public CompletableFuture<Void> ended() {
        return mEnded;
    }

    /**
     * Stops the node without cutting a request, within the shutdown bound.
     *
     * @return completes when everything is closed
     */
    public CompletableFuture<Void> leave() {
        synchronized (this) {
            if (mLeaving) {
                return mEnded;
            }
            mLeaving = true;
        }
        LOGGER.info("leaving");
        mData.leave()
                .orTimeout(mParts.shutdownBound().toMillis(), TimeUnit.MILLISECONDS)
                .whenComplete((unused, failure) -> end(failure));
        return mEnded;
    }

    /** Stops the node at once; open requests are cut. */
    public void close() {
        closeAll();
        mEnded.complete(null);
    }

    private void open() {
        NodeSettings.NodeSection node = mParts.settings().node();
        mData =
                DataSide.of(
                        new DataSide.Parts(
                                mParts.settings(),
                                System.currentTimeMillis(),
                                mDataLoops.next(),
                                mTicker,
                                System::currentTimeMillis,
                                mMetrics,
                                mTracer,
                                mSnapshots,
                                () -> null,
                                report -> {},
                                mParts.policies()));
        mData.start();
        mReadyServer =
                AdminServer.bind(
                        mControlLoops,
                        mParts.readyAddress(),
                        Map.of("/ready", new HealthEndpoint("ready", this::isReady)));
        mAdmin =
                AdminServer.bind(
                        mControlLoops,
                        new InetSocketAddress(node.address(), node.adminPort()),
                        Map.of(
                                "/health", new HealthEndpoint("healthy", () -> true),
                                "/metrics", new MetricsEndpoint(mMetrics),
                                "/explain", new ExplainEndpoint(mData::explain)));
        if (mParts.metricsPort() > 0) {
            mMetricsServer = bindMetrics(node);
        }
        mControl =
                new StoreControl(
                        mControlLoops.next(),
                        mParts.store().apply(mControlLoops),
                        mParts.watchWait(),
                        StoreWatcher.of(
                                mTicker,
                                new SplittableRandom(),
                                mParts.removalGrace(),
                                mParts.changePause()),
                        new StoreSnapshotBuilder(mParts.decoder(), new StateLog()),
                        this::onSnapshot);
        mControl.start();
        LOGGER.info(
                "started {} beside service {} with ports caller={} node={} admin={}",
                node.id(),
                node.service(),
                node.callerPort(),
                node.nodePort(),
                node.adminPort());
    }

    /** Binds the metrics port. Requests are served without it, so that a taken port is no fault. */
    private AdminServer bindMetrics(NodeSettings.NodeSection node) {
        try {
            return AdminServer.bind(
                    mControlLoops,
                    new InetSocketAddress(node.address(), mParts.metricsPort()),
                    Map.of("/metrics", new MetricsEndpoint(mMetrics)));
        } catch (FoxtailmoorException e) {
            LOGGER.warn("metrics are served on the admin port only: {}", e.getMessage());
            return null;
        }
    }

    private void onSnapshot(RoutingSnapshot snapshot) {
        if (!mSnapshots.publish(snapshot)) {
            return;
        }
        mData.onPublished();
        if (!mServing) {
            mServing = true;
            mData.onReady();
            LOGGER.info("serving with {} services", snapshot.services().size());
        }
    }

    private void end(Throwable failure) {
        if (failure != null) {
            LOGGER.warn("the shutdown did not finish in {}", mParts.shutdownBound());
        }
        closeAll();
        // Exporting the last spans may block, so that it must not run on an event loop.
        CompletableFuture.runAsync(mTracer::close)
                .whenComplete(
                        (unused, closeFailure) -> {
                            LOGGER.info("ended");
                            mEnded.complete(null);
                        });
    }

    private void closeAll() {
        if (mControl != null) {
            mControl.close();
        }
        if (mData != null) {
            mData.close();
        }
        if (mAdmin != null) {
            mAdmin.close();
        }
        if (mReadyServer != null) {
            mReadyServer.close();
        }
        if (mMetricsServer != null) {
            mMetricsServer.close();
        }
        mDataLoops.shutdownGracefully(0, LOOP_SHUTDOWN_SECONDS, TimeUnit.SECONDS);
        mControlLoops.shutdownGracefully(0, LOOP_SHUTDOWN_SECONDS, TimeUnit.SECONDS);
    }

    private static EventLoopGroup newLoop(String name) {
        return new MultiThreadIoEventLoopGroup(
                1, new DefaultThreadFactory(name), NioIoHandler.newFactory());
    }

    /** Logs what the node believes about the catalogue and the instances. */
    private static final class StateLog implements StoreSnapshotBuilder.Listener {
        @Override
        public void onCatalogue(String label, long revision) {
            LOGGER.info("catalogue {} of revision {} is in force", label, revision);
        }

        @Override
        public void onInstance(Instance instance, long revision) {
            LOGGER.info(
                    "instance {} of {} at {}:{} in {} revision={} leaving={} slots={}",
                    instance.getId(),
                    instance.getServiceId(),
                    instance.getAddress(),
                    instance.getNodePort(),
                    instance.getZone(),
                    revision,
                    instance.getLeaving(),
                    instance.getSlots());
        }

        @Override
        public void onInstanceGone(String key) {
            LOGGER.info("instance {} is gone", key);
        }

        @Override
        public void onUndecodable(String key, long revision, String reason) {
            LOGGER.warn("item {} of revision {} is unreadable: {}", key, revision, reason);
        }
    }
}
