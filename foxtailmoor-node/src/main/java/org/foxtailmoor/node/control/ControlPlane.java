package org.foxtailmoor.node.control;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Ticker;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.foxtailmoor.core.distribution.DistributionEngine;
import org.foxtailmoor.core.distribution.DistributionSettings;
import org.foxtailmoor.core.distribution.DistributionStatus;
import org.foxtailmoor.core.source.ConfigurationSource;
import org.foxtailmoor.core.source.InstanceList;
import org.foxtailmoor.node.NodeSettings;
import org.foxtailmoor.protocol.generated.ControlHello;
import org.foxtailmoor.protocol.generated.ControlMessage;
import org.foxtailmoor.protocol.generated.CrashReport;
import org.foxtailmoor.protocol.generated.Instance;
import org.foxtailmoor.protocol.generated.Topic;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Control plane of a node: connects the {@link DistributionEngine} to the control port, to the
 * peers and to the platform. All work is done on the control loop; the public methods may be called
 * from any thread.
 */
public final class ControlPlane implements AutoCloseable {
    private static final Logger LOGGER = LoggerFactory.getLogger(ControlPlane.class);
    private static final long TICK_INTERVAL_MILLISECONDS = 100;

    private final EventLoop mLoop;
    private final ControlTrafficCounter mTraffic;
    private final PeerConnections mConnections;
    private final DistributionEngine mEngine;
    private final SourceCalls mSourceCalls;
    private final ControlListener mListener;
    private final ControlServer mServer;
    private final ControlGauges mGauges;
    private boolean mReadyReported;
    private volatile boolean mReady;

    private ControlPlane(Builder builder) {
        NodeSettings settings = builder.mSettings;
        mLoop = builder.mLoop;
        mListener = builder.mListener;
        mTraffic = new ControlTrafficCounter(builder.mMetrics);
        mGauges = new ControlGauges(builder.mMetrics);
        PeerAddresses addresses = new PeerAddresses();
        mConnections =
                new PeerConnections(
                        mLoop,
                        builder.mTicker,
                        new ControlPipelineConfigurer(mTraffic),
                        addresses,
                        ControlHello.newBuilder()
                                .setInstanceId(settings.node().id())
                                .setIncarnation(builder.mIncarnation)
                                .build(),
                        settings.node().region(),
                        new PeerListener());
        mServer =
                ControlServer.bind(
                        mLoop,
                        builder.mTicker,
                        new InetSocketAddress(
                                settings.node().address(), settings.node().controlPort()),
                        mConnections);
        mEngine = newEngine(builder, addresses);
        mSourceCalls =
                new SourceCalls(
                        builder.mTicker,
                        builder.mRandom,
                        mLoop,
                        mEngine,
                        Map.of(
                                Topic.TOPIC_CATALOGUE,
                                new PublishedCatalogueReader(builder.mConfigurationSource),
                                Topic.TOPIC_INSTANCES,
                                new InstanceListReader(builder.mInstanceList)));
        settings.peers().seeds().forEach(seed -> mEngine.addSeed(seedPeerId(seed)));
    }

    /** Returns a builder with no values set. */
    public static Builder builder() {
        return new Builder();
    }

    /** Starts accepting connections and running the periodic control tick. */
    public void start() {
        mServer.startAccepting();
        mLoop.scheduleAtFixedRate(
                this::onTick, 0, TICK_INTERVAL_MILLISECONDS, TimeUnit.MILLISECONDS);
    }

    /** Returns the bound address of the control port. */
    public InetSocketAddress address() {
        return mServer.address();
    }

    /** Returns whether startup has finished, so that the node may serve requests. */
    public boolean isReady() {
        return mReady;
    }

    /**
     * Tells the peers that the node is leaving. The future completes when the messages have been
     * handed to the connections.
     */
    public CompletableFuture<Void> startLeaving() {
        return supplyOnLoop(
                () -> {
                    mEngine.startLeaving();
                    return null;
                });
    }

    /** Distributes a crash report for the node's own service to the other nodes of that service. */
    public void reportCrash(CrashReport report) {
        mLoop.execute(() -> mEngine.reportCrash(report));
    }

    /** Returns the status of the document distribution, taken on the control loop. */
    public CompletableFuture<DistributionStatus> status() {
        return supplyOnLoop(mEngine::status);
    }

    /** Returns the byte counts of the control connections. */
    public ControlBytes controlBytes() {
        return new ControlBytes(
                mTraffic.sentBytes(), mTraffic.receivedBytes(), mTraffic.sentCrossRegionBytes());
    }

    /** Closes the control port and all control connections. */
    @Override
    public void close() {
        mLoop.execute(
                () -> {
                    mServer.close();
                    mConnections.close();
                });
    }

    private DistributionEngine newEngine(Builder builder, PeerAddresses addresses) {
        NodeSettings.DistributionSection distribution = builder.mSettings.distribution();
        return DistributionEngine.builder()
                .self(ownInstance(builder.mSettings))
                .incarnation(builder.mIncarnation)
                .ticker(builder.mTicker)
                .random(builder.mRandom)
                .settings(
                        DistributionSettings.builder()
                                .fanOut(distribution.fanOut())
                                .readersPerZone(distribution.readersPerZone())
                                .exchangeMilliseconds(distribution.exchangeMilliseconds())
                                .fetchDelayMilliseconds(distribution.fetchDelayMilliseconds())
                                .build())
                .outbox(mConnections)
                .listener(new DocumentsInForce(builder.mSettings.node().id(), addresses, mListener))
                .build();
    }

    private Instance ownInstance(NodeSettings settings) {
        NodeSettings.NodeSection node = settings.node();
        return Instance.newBuilder()
                .setId(node.id())
                .setServiceId(node.service())
                .setRegion(node.region())
                .setZone(node.zone())
                .setAddress(node.address())
                .setNodePort(node.nodePort())
                .setControlPort(mServer.address().getPort())
                .build();
    }

    /** Catches exceptions, because an exception would cancel all further executions of the tick. */
    private void onTick() {
        try {
            runTick();
        } catch (RuntimeException e) {
            LOGGER.error("a control tick failed", e);
        }
    }

    private void runTick() {
        mConnections.closeUnresponsive();
        mEngine.onTick();
        mSourceCalls.onTick();
        mGauges.onTick(mEngine);
        mListener.onViewLease(mEngine.viewLease());
        mReady = mEngine.isReady();
        if (mReady && !mReadyReported) {
            mReadyReported = true;
            mListener.onReady();
        }
    }

    private <T> CompletableFuture<T> supplyOnLoop(Supplier<T> call) {
        return CompletableFuture.supplyAsync(call, mLoop);
    }

    private static String seedPeerId(InetSocketAddress seed) {
        return seed.getHostString() + ":" + seed.getPort();
    }

    private final class PeerListener implements PeerConnections.Listener {
        @Override
        public void onMessage(String peerId, ControlMessage message) {
            mEngine.onMessage(peerId, message);
        }

        @Override
        public void onDisconnected(String peerId) {
            mEngine.onPeerDisconnected(peerId);
        }
    }

    /** Builds a control plane. All values are required. */
    public static final class Builder {
        private NodeSettings mSettings;
        private EventLoop mLoop;
        private Ticker mTicker;
        private RandomGenerator mRandom;
        private long mIncarnation;
        private MetricRegistry mMetrics;
        private ConfigurationSource mConfigurationSource;
        private InstanceList mInstanceList;
        private ControlListener mListener;

        private Builder() {}

        /** Sets the settings of the node. */
        public Builder settings(NodeSettings settings) {
            mSettings = settings;
            return this;
        }

        /** Sets the control loop. */
        public Builder loop(EventLoop loop) {
            mLoop = loop;
            return this;
        }

        /** Sets the clock. */
        public Builder ticker(Ticker ticker) {
            mTicker = ticker;
            return this;
        }

        /** Sets the source of randomness, used on the control loop only. */
        public Builder random(RandomGenerator random) {
            mRandom = random;
            return this;
        }

        /** Sets the start time of the process in milliseconds since the epoch. */
        public Builder incarnation(long incarnation) {
            mIncarnation = incarnation;
            return this;
        }

        /** Sets the registry for the counters and gauges. */
        public Builder metrics(MetricRegistry metrics) {
            mMetrics = metrics;
            return this;
        }

        /** Sets the client of the configuration service. */
        public Builder configurationSource(ConfigurationSource source) {
            mConfigurationSource = source;
            return this;
        }

        /** Sets the client of the instance list. */
        public Builder instanceList(InstanceList list) {
            mInstanceList = list;
            return this;
        }

        /** Sets the listener that receives the results. */
        public Builder listener(ControlListener listener) {
            mListener = listener;
            return this;
        }

        /**
         * Binds the control port and returns a control plane that is inactive until {@link
         * ControlPlane#start()} is called.
         *
         * @throws NullPointerException if a required value is not set
         * @throws org.foxtailmoor.base.FoxtailmoorException of kind ADDRESS_IN_USE if the control
         *     port cannot be bound
         */
        public ControlPlane build() {
            Objects.requireNonNull(mSettings, "settings");
            Objects.requireNonNull(mLoop, "loop");
            Objects.requireNonNull(mTicker, "ticker");
            Objects.requireNonNull(mRandom, "random");
            Objects.requireNonNull(mMetrics, "metrics");
            Objects.requireNonNull(mConfigurationSource, "configurationSource");
            Objects.requireNonNull(mInstanceList, "instanceList");
            Objects.requireNonNull(mListener, "listener");
            return new ControlPlane(this);
        }
    }
}
