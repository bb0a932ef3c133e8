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
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.catalogue.CatalogueSnapshot;
import org.foxtailmoor.core.routing.RoutingSnapshot;
import org.foxtailmoor.core.routing.SnapshotReference;
import org.foxtailmoor.node.admin.AdminEndpoint;
import org.foxtailmoor.node.admin.AdminServer;
import org.foxtailmoor.node.admin.ExplainEndpoint;
import org.foxtailmoor.node.admin.HealthEndpoint;
import org.foxtailmoor.node.admin.MetricsEndpoint;
import org.foxtailmoor.node.admin.StatusEndpoint;
import org.foxtailmoor.node.control.ControlPlane;
import org.foxtailmoor.node.data.DataSide;
import org.foxtailmoor.node.data.KeyedPolicies;
import org.foxtailmoor.node.platform.HttpConfigurationSource;
import org.foxtailmoor.node.platform.HttpInstanceList;
import org.foxtailmoor.node.trace.HopTracer;
import org.foxtailmoor.node.trace.HopTracerFactory;
import org.foxtailmoor.protocol.DocumentVersions;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A running node: the control plane and the data plane, each on its own event loop, and the admin
 * port.
 *
 * <pre>{@code
 * Node node = Node.start(settings);
 * node.shutdownGracefully().join();
 * }</pre>
 */
public final class Node {
    /**
     * Maximum duration of a graceful shutdown; requests that are still open after it are aborted.
     */
    static final long SHUTDOWN_TIMEOUT_SECONDS = 30;

    private static final Logger LOGGER = LoggerFactory.getLogger(Node.class);
    private static final long LOOP_SHUTDOWN_TIMEOUT_SECONDS = 1;

    private final NodeSettings mSettings;
    private final Ticker mTicker = Ticker.systemTicker();
    private final MetricRegistry mMetrics = new MetricRegistry();
    private final EventLoopGroup mControlLoops = newEventLoopGroup("control");
    private final EventLoopGroup mDataLoops = newEventLoopGroup("data");
    private final HopTracer mTracer;
    private final SnapshotReference<RoutingSnapshot> mSnapshots;
    private final CompletableFuture<Void> mTerminated = new CompletableFuture<>();
    private ControlPlane mControlPlane;
    private DataSide mDataSide;
    private AdminServer mAdminServer;
    private volatile boolean mLeaving;

    private Node(NodeSettings settings) {
        mSettings = settings;
        mTracer = HopTracerFactory.create(settings);
        mSnapshots =
                SnapshotReference.of(
                        RoutingSnapshot.of(
                                CatalogueSnapshot.EMPTY, DocumentVersions.NONE, List.of()),
                        discarded -> {});
    }

    /**
     * Binds all ports and starts the node. It serves requests as soon as it is ready.
     *
     * @param settings settings of the node, not null
     * @throws org.foxtailmoor.base.FoxtailmoorException of kind ADDRESS_IN_USE if a port cannot be
     *     bound
     */
    public static Node start(NodeSettings settings) {
        Node node = new Node(settings);
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

    /** Returns the bound address of the node port. */
    public InetSocketAddress nodeAddress() {
        return mDataSide.nodeAddress();
    }

    /** Returns the bound address of the control port. */
    public InetSocketAddress controlAddress() {
        return mControlPlane.address();
    }

    /** Returns the bound address of the admin port. */
    public InetSocketAddress adminAddress() {
        return mAdminServer.address();
    }

    /** Returns whether the node has finished startup and is not leaving. */
    public boolean isReady() {
        return mControlPlane.isReady() && !mLeaving;
    }

    /** Returns a future that completes when the node has terminated. */
    public CompletableFuture<Void> terminationFuture() {
        return mTerminated;
    }

    /**
     * Shuts the node down gracefully: drains the data plane, so that no open request is aborted,
     * for at most 30 s.
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
        CompletableFuture.allOf(
                        mControlPlane.startLeaving(),
                        mDataSide.leave(Duration.ofSeconds(SHUTDOWN_TIMEOUT_SECONDS)))
                .orTimeout(SHUTDOWN_TIMEOUT_SECONDS + 1, TimeUnit.SECONDS)
                .whenComplete((unused, failure) -> finishShutdown(failure));
        return mTerminated;
    }

    /** Stops the node immediately; open requests are aborted. */
    public void close() {
        closeAll();
        mTerminated.complete(null);
    }

    private void bindAndStart() {
        long incarnation = System.currentTimeMillis();
        ControlEventForwarder events =
                new ControlEventForwarder(mSnapshots, this::shutdownGracefully);
        mControlPlane = newControlPlane(incarnation, events);
        mDataSide =
                DataSide.of(
                        new DataSide.Dependencies(
                                mSettings,
                                incarnation,
                                mDataLoops.next(),
                                mTicker,
                                System::currentTimeMillis,
                                mMetrics,
                                mTracer,
                                mSnapshots,
                                events::lease,
                                mControlPlane::reportCrash,
                                new KeyedPolicies()));
        events.setDataSide(mDataSide);
        mDataSide.start();
        mAdminServer = newAdminServer(events);
        mControlPlane.start();
        LOGGER.info(
                "started node {} with ports caller={} node={} control={} admin={}",
                mSettings.node().id(),
                callerAddress().getPort(),
                nodeAddress().getPort(),
                controlAddress().getPort(),
                adminAddress().getPort());
    }

    private ControlPlane newControlPlane(long incarnation, ControlEventForwarder events) {
        InetSocketAddress platformAddress = mSettings.platform().socketAddress();
        return ControlPlane.builder()
                .settings(mSettings)
                .loop(mControlLoops.next())
                .ticker(mTicker)
                .random(new SplittableRandom())
                .incarnation(incarnation)
                .metrics(mMetrics)
                .configurationSource(new HttpConfigurationSource(mControlLoops, platformAddress))
                .instanceList(new HttpInstanceList(mControlLoops, platformAddress))
                .listener(events)
                .build();
    }

    private AdminServer newAdminServer(ControlEventForwarder events) {
        Map<String, AdminEndpoint> endpoints =
                Map.of(
                        "/health", new HealthEndpoint("healthy", () -> true),
                        "/ready", new HealthEndpoint("ready", this::isReady),
                        "/metrics", new MetricsEndpoint(mMetrics),
                        "/explain", new ExplainEndpoint(mDataSide::explain),
                        "/status",
                                new StatusEndpoint(
                                        mSettings.node(), mControlPlane, events::leavingUpstreams));
        NodeSettings.NodeSection node = mSettings.node();
        return AdminServer.bind(
                mControlLoops, new InetSocketAddress(node.address(), node.adminPort()), endpoints);
    }

    private void finishShutdown(Throwable failure) {
        if (failure != null) {
            LOGGER.warn(
                    "the graceful shutdown did not finish within {} s, closing open connections",
                    SHUTDOWN_TIMEOUT_SECONDS,
                    failure);
        }
        closeAll();
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
        if (mDataSide != null) {
            mDataSide.close();
        }
        if (mAdminServer != null) {
            mAdminServer.close();
        }
        if (mControlPlane != null) {
            mControlPlane.close();
        }
        mDataLoops.shutdownGracefully(0, LOOP_SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        mControlLoops.shutdownGracefully(0, LOOP_SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private static EventLoopGroup newEventLoopGroup(String name) {
        return new MultiThreadIoEventLoopGroup(
                1, new DefaultThreadFactory(name), NioIoHandler.newFactory());
    }
}
