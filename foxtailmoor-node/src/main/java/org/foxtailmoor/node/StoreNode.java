package org.foxtailmoor.node;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
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
import java.util.function.BiFunction;
import java.util.function.Supplier;
import org.foxtailmoor.base.FoxtailmoorException;
import org.foxtailmoor.catalogue.CatalogueSnapshot;
import org.foxtailmoor.core.routing.RoutingSnapshot;
import org.foxtailmoor.core.routing.SnapshotReference;
import org.foxtailmoor.core.source.ItemDecoder;
import org.foxtailmoor.core.source.ItemOrder;
import org.foxtailmoor.core.source.ItemStore;
import org.foxtailmoor.core.source.StorePosition;
import org.foxtailmoor.core.source.StoreReplica;
import org.foxtailmoor.core.source.StoreSnapshotBuilder;
import org.foxtailmoor.node.admin.AdminServer;
import org.foxtailmoor.node.admin.ExplainEndpoint;
import org.foxtailmoor.node.admin.HealthEndpoint;
import org.foxtailmoor.node.admin.MetricsEndpoint;
import org.foxtailmoor.node.control.HttpPeerItems;
import org.foxtailmoor.node.control.ItemsEndpoint;
import org.foxtailmoor.node.control.PeerFeed;
import org.foxtailmoor.node.control.StoreControl;
import org.foxtailmoor.node.data.DataPolicies;
import org.foxtailmoor.node.data.DataSide;
import org.foxtailmoor.node.trace.HopTracer;
import org.foxtailmoor.node.trace.HopTracerFactory;
import org.foxtailmoor.protocol.DocumentVersions;
import org.foxtailmoor.protocol.generated.Instance;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A running node that reads the catalogue and the instances from a store or from other nodes that
 * have read them. It has the data plane of a {@link Node}, but no control port and no support for
 * idempotency keys.
 */
public final class StoreNode {
    private static final Logger LOGGER = LoggerFactory.getLogger(StoreNode.class);
    private static final long LOOP_SHUTDOWN_TIMEOUT_SECONDS = 1;

    /** Time after the shutdown timeout in which a delayed data loop may still end its requests. */
    private static final Duration DATA_LOOP_DELAY = Duration.ofMillis(150);

    /**
     * Settings and collaborators of a node. No component may be null.
     *
     * @param settings settings; those of the control port and of the document distribution are not
     *     used
     * @param readyAddress address that serves the readiness check
     * @param metricsPort additional port that serves the metrics, 0 for none
     * @param policies policies that decide on requests
     * @param store creates the client of the store on the given event loops, with its metrics in
     *     the given registry
     * @param decoder decodes the items of the store
     * @param itemOrder order of the states of an item
     * @param watchTimeout maximum wait of a read of the store or of another node
     * @param maxAge age above which the items of another node are outdated
     * @param removalGracePeriod time for which an instance that was removed from the store still
     *     receives requests
     * @param changeBatchingPeriod time for which large changes in quick succession may be batched
     * @param shutdownTimeout maximum duration of a graceful shutdown
     */
    public record Options(
            NodeSettings settings,
            InetSocketAddress readyAddress,
            int metricsPort,
            DataPolicies policies,
            BiFunction<EventLoopGroup, MetricRegistry, ItemStore> store,
            ItemDecoder decoder,
            ItemOrder itemOrder,
            Duration watchTimeout,
            Duration maxAge,
            Duration removalGracePeriod,
            Duration changeBatchingPeriod,
            Duration shutdownTimeout) {
        /** Checks that no component is null. */
        public Options {
            Objects.requireNonNull(settings, "settings");
            Objects.requireNonNull(readyAddress, "readyAddress");
            Objects.requireNonNull(policies, "policies");
            Objects.requireNonNull(store, "store");
            Objects.requireNonNull(decoder, "decoder");
            Objects.requireNonNull(itemOrder, "itemOrder");
            Objects.requireNonNull(watchTimeout, "watchTimeout");
            Objects.requireNonNull(maxAge, "maxAge");
            Objects.requireNonNull(removalGracePeriod, "removalGracePeriod");
            Objects.requireNonNull(changeBatchingPeriod, "changeBatchingPeriod");
            Objects.requireNonNull(shutdownTimeout, "shutdownTimeout");
        }
    }

    private final Options mOptions;
    private final Ticker mTicker = Ticker.systemTicker();
    private final MetricRegistry mMetrics = new MetricRegistry();
    private final EventLoopGroup mControlLoops = newEventLoopGroup("control");
    private final EventLoopGroup mDataLoops = newEventLoopGroup("data");
    private final HopTracer mTracer;
    private final SnapshotReference<RoutingSnapshot> mSnapshots;
    private final CompletableFuture<Void> mTerminated = new CompletableFuture<>();
    private StoreControl mStoreControl;
    private DataSide mDataSide;
    private AdminServer mAdminServer;
    private AdminServer mReadyServer;
    private AdminServer mMetricsServer;
    private volatile boolean mServing;
    private volatile boolean mLeaving;

    private StoreNode(Options options) {
        mOptions = options;
        mTracer = HopTracerFactory.create(options.settings());
        mSnapshots =
                SnapshotReference.of(
                        RoutingSnapshot.of(
                                CatalogueSnapshot.EMPTY, DocumentVersions.NONE, List.of()),
                        discarded -> {});
    }

    /**
     * Binds all ports and starts the node. It serves requests as soon as it has read a catalogue.
     *
     * @param options settings and collaborators, not null
     * @throws org.foxtailmoor.base.FoxtailmoorException of kind ADDRESS_IN_USE if a port cannot be
     *     bound
     */
    public static StoreNode start(Options options) {
        StoreNode node = new StoreNode(options);
        try {
            node.bindAndStart();
            return node;
        } catch (RuntimeException e) {
            node.closeAll();
            throw e;
        }
    }

    /** Returns the bound address of the caller port. */
    public InetSocketAddress callerAddress() {
        return mDataSide.callerAddress();
    }

    /** Returns whether the node is ready for new requests. */
    public boolean isReady() {
        return mServing && !mLeaving;
    }

    /** Returns a future that completes when the node has terminated. */
    public CompletableFuture<Void> terminationFuture() {
        return mTerminated;
    }

    /**
     * Shuts the node down gracefully: drains the data plane, so that no open request is aborted,
     * until the shutdown timeout. Requests that are still open then are answered with an error.
     *
     * @return future that completes when all resources are closed
     */
    public CompletableFuture<Void> shutdownGracefully() {
        synchronized (this) {
            if (mLeaving) {
                return mTerminated;
            }
            mLeaving = true;
        }
        LOGGER.info("leaving");
        mDataSide
                .leave(mOptions.shutdownTimeout())
                .orTimeout(
                        mOptions.shutdownTimeout().plus(DATA_LOOP_DELAY).toMillis(),
                        TimeUnit.MILLISECONDS)
                .whenComplete((unused, failure) -> finishShutdown(failure));
        return mTerminated;
    }

    /** Stops the node immediately; open requests are aborted. */
    public void close() {
        closeAll();
        mTerminated.complete(null);
    }

    private void bindAndStart() {
        NodeSettings.NodeSection node = mOptions.settings().node();
        mDataSide =
                DataSide.of(
                        new DataSide.Dependencies(
                                mOptions.settings(),
                                System.currentTimeMillis(),
                                mDataLoops.next(),
                                mTicker,
                                System::currentTimeMillis,
                                mMetrics,
                                mTracer,
                                mSnapshots,
                                () -> null,
                                report -> {},
                                mOptions.policies()));
        mDataSide.start();
        mReadyServer =
                AdminServer.bind(
                        mControlLoops,
                        mOptions.readyAddress(),
                        Map.of("/ready", new HealthEndpoint("ready", this::isReady)));
        createStoreControl(node);
        mStoreControl.start();
        LOGGER.info(
                "started node {} of service {} with ports caller={} node={} admin={}",
                node.id(),
                node.service(),
                node.callerPort(),
                node.nodePort(),
                node.adminPort());
    }

    /** Creates the control plane and binds the admin port, on which other nodes read items. */
    private void createStoreControl(NodeSettings.NodeSection node) {
        EventLoop controlLoop = mControlLoops.next();
        StoreReplica replica =
                StoreReplica.builder()
                        .setTicker(mTicker)
                        .setRandom(new SplittableRandom())
                        .setLocation(node.address(), node.region())
                        .setRemovalGrace(mOptions.removalGracePeriod())
                        .setBurstPause(mOptions.changeBatchingPeriod())
                        .setMaxAge(mOptions.maxAge())
                        .setItemOrder(mOptions.itemOrder())
                        .build();
        registerGauges(replica);
        PeerFeed feed = new PeerFeed(controlLoop, mTicker, replica);
        mAdminServer =
                AdminServer.bind(
                        mControlLoops,
                        new InetSocketAddress(node.address(), node.adminPort()),
                        Map.of(
                                "/health",
                                new HealthEndpoint("healthy", () -> true),
                                "/metrics",
                                new MetricsEndpoint(mMetrics),
                                "/explain",
                                new ExplainEndpoint(mDataSide::explain),
                                ItemsEndpoint.PATH,
                                new ItemsEndpoint(feed)));
        if (mOptions.metricsPort() > 0) {
            mMetricsServer = bindMetricsPort(node);
        }
        mStoreControl =
                new StoreControl(
                        new StoreControl.Dependencies(
                                controlLoop,
                                mOptions.store().apply(mControlLoops, mMetrics),
                                new HttpPeerItems(mControlLoops, node.adminPort(), mMetrics),
                                mOptions.watchTimeout(),
                                replica,
                                feed,
                                new StoreSnapshotBuilder(
                                        mOptions.decoder(), new StateChangeLogger()),
                                LoopDelayTimer.register(
                                        mMetrics, "foxtailmoor.control.loop_delay_nanoseconds"),
                                this::onSnapshot));
    }

    /** Metrics are read on the only control loop, to which the replica is confined. */
    private void registerGauges(StoreReplica replica) {
        Map<String, Supplier<Long>> gauges =
                Map.of(
                        "revision",
                        () -> replica.copy().position().revision(),
                        "era",
                        () -> replica.copy().position().era(),
                        "era_changes",
                        () -> replica.copy().eraChanges(),
                        "store_era",
                        () -> replica.storePosition().era(),
                        "store_revision",
                        () -> replica.storePosition().revision(),
                        "age_milliseconds",
                        () -> TimeUnit.NANOSECONDS.toMillis(replica.copy().age()),
                        "read_rank",
                        () -> (long) replica.order().rank(),
                        "reads_store",
                        () -> replica.readsStore() ? 1L : 0L,
                        "late_reads",
                        () -> (long) replica.lateCalls());
        gauges.forEach(
                (name, value) -> mMetrics.registerGauge("foxtailmoor.control." + name, value::get));
    }

    /**
     * Binds the additional metrics port. A port that is in use is only logged, because the node can
     * serve requests without it.
     */
    private AdminServer bindMetricsPort(NodeSettings.NodeSection node) {
        try {
            return AdminServer.bind(
                    mControlLoops,
                    new InetSocketAddress(node.address(), mOptions.metricsPort()),
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
        mDataSide.onPublished();
        if (!mServing) {
            mServing = true;
            mDataSide.onReady();
            LOGGER.info("ready to serve requests with {} services", snapshot.services().size());
        }
    }

    private void finishShutdown(Throwable failure) {
        if (failure != null) {
            LOGGER.warn(
                    "the graceful shutdown did not finish within {}, closing open connections",
                    mOptions.shutdownTimeout());
        }
        try {
            closeAll();
        } catch (RuntimeException e) {
            // The process must end even if a part cannot be closed.
            LOGGER.error("cannot close all parts of the node", e);
        }
        // Closing the tracer blocks while the last spans are exported, so it must not run on an
        // event loop.
        CompletableFuture.runAsync(mTracer::close)
                .whenComplete(
                        (unused, closeFailure) -> {
                            LOGGER.info("ended");
                            mTerminated.complete(null);
                        });
    }

    private void closeAll() {
        if (mStoreControl != null) {
            mStoreControl.close();
        }
        if (mDataSide != null) {
            mDataSide.close();
        }
        if (mAdminServer != null) {
            mAdminServer.close();
        }
        if (mReadyServer != null) {
            mReadyServer.close();
        }
        if (mMetricsServer != null) {
            mMetricsServer.close();
        }
        mDataLoops.shutdownGracefully(0, LOOP_SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        mControlLoops.shutdownGracefully(0, LOOP_SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private static EventLoopGroup newEventLoopGroup(String name) {
        return new MultiThreadIoEventLoopGroup(
                1, new DefaultThreadFactory(name), NioIoHandler.newFactory());
    }

    /** Logs each change of the catalogue and of the instances that the node knows. */
    private static final class StateChangeLogger implements StoreSnapshotBuilder.Listener {
        @Override
        public void onCatalogue(String label, StorePosition position) {
            LOGGER.info("catalogue {} at revision {} is now active", label, position);
        }

        @Override
        public void onInstance(Instance instance, StorePosition position) {
            LOGGER.info(
                    "instance {} of service {} at {}:{} in zone {} revision={} leaving={} slots={}",
                    instance.getId(),
                    instance.getServiceId(),
                    instance.getAddress(),
                    instance.getNodePort(),
                    instance.getZone(),
                    position,
                    instance.getLeaving(),
                    instance.getSlots());
        }

        @Override
        public void onInstanceGone(String key) {
            LOGGER.info("instance {} is gone", key);
        }

        @Override
        public void onEvacuation(String zone, boolean evacuated) {
            LOGGER.info("the evacuation of zone {} {}", zone, evacuated ? "begins" : "ends");
        }

        @Override
        public void onUndecodable(String key, StorePosition position, String reason) {
            LOGGER.warn("cannot decode item {} at revision {}: {}", key, position, reason);
        }
    }
}
