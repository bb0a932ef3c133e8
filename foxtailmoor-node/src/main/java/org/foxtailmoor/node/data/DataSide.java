package org.foxtailmoor.node.data;

import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Ticker;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.base.FoxtailmoorException;
import org.foxtailmoor.core.admission.AdmissionPolicy;
import org.foxtailmoor.core.admission.BodyMemory;
import org.foxtailmoor.core.admission.EventLoopLag;
import org.foxtailmoor.core.distribution.ViewLease;
import org.foxtailmoor.core.home.CrashGuard;
import org.foxtailmoor.core.routing.EpochClock;
import org.foxtailmoor.core.routing.Route;
import org.foxtailmoor.core.routing.RoutingSnapshot;
import org.foxtailmoor.core.routing.SnapshotReference;
import org.foxtailmoor.core.routing.Upstream;
import org.foxtailmoor.core.routing.UpstreamTable;
import org.foxtailmoor.node.NodeSettings;
import org.foxtailmoor.node.trace.HopTracer;
import org.foxtailmoor.protocol.generated.CrashReport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Data side of a node: the caller port, the node port, the links and the target client around the
 * decisions about requests. Everything runs on the data loop; the public methods may be called from
 * any thread.
 */
public final class DataSide {
    private static final Logger LOGGER = LoggerFactory.getLogger(DataSide.class);
    private static final long TICK_MILLISECONDS = 20;

    /**
     * Interval of ticks without requests at the home, and of the systems that need no short one. It
     * keeps the processor time of an idle node low.
     */
    private static final long SLOW_TICK_MILLISECONDS = 100;

    private static final long SLOW_TICK_NANOSECONDS =
            TimeUnit.MILLISECONDS.toNanos(SLOW_TICK_MILLISECONDS);
    private static final int SLOW_TICKS_PER_SECOND = 10;

    /**
     * Parts that a data side is built from; no component may be null.
     *
     * @param settings settings of the node
     * @param incarnation start time of the process in milliseconds since the epoch
     * @param loop data loop
     * @param ticker clock
     * @param timeOfDay time of day in milliseconds since the epoch, for the ages of keys
     * @param metrics registry for the metrics
     * @param tracer records the trace hops
     * @param snapshots routing snapshot in force
     * @param lease gives the view lease now, or null
     * @param crashReporter receives crash counts to spread, on the data loop
     * @param policies decisions about requests
     */
    public record Parts(
            NodeSettings settings,
            long incarnation,
            EventLoop loop,
            Ticker ticker,
            LongSupplier timeOfDay,
            MetricRegistry metrics,
            HopTracer tracer,
            SnapshotReference<RoutingSnapshot> snapshots,
            Supplier<ViewLease> lease,
            Consumer<CrashReport> crashReporter,
            DataPolicies policies) {}

    private final Parts mParts;
    private final DecisionLog mLog;
    private final EpochClock mClock;
    private final UpstreamTable mUpstreams;
    private final DataPolicies.Context mContext;
    private final AdmissionPolicy mAdmission;
    private final CrashGuard mGuard;
    private final TargetClient mTarget;
    private final HomeGateway mHome;
    private final Links mLinks;
    private final EntryGateway mEntry;
    private final EventLoopLag mBacklog;
    private final CallerServer mCallers;
    private final LinkServer mLinkServer;
    private final DataDrain mDrain;
    private InetSocketAddress mCallerAddress;
    private InetSocketAddress mNodeAddress;
    private RoutingSnapshot mSnapshot;
    private List<CrashReport> mReported = List.of();
    private boolean mReady;
    private long mSlowTicks;
    private long mSlowTickNanoseconds;

    private DataSide(Parts parts) {
        mParts = parts;
        NodeSettings.NodeSection node = parts.settings().node();
        Ticker ticker = parts.ticker();
        HeaderNames headers = parts.policies().headers();
        BodyMemory memory = BodyMemory.of(node.bodyMemoryBytes());
        DataMetrics metrics = new DataMetrics(parts.metrics());
        mLog = new DecisionLog(ticker);
        mClock = EpochClock.of(ticker, parts.timeOfDay().getAsLong());
        mUpstreams = UpstreamTable.of(ticker);
        mGuard = CrashGuard.of(ticker, node.service(), node.id());
        mContext = newContext();
        mAdmission = parts.policies().admission(mContext);
        mTarget =
                new TargetClient(
                        parts.loop(),
                        parts.settings().target().socketAddress(),
                        memory,
                        ticker,
                        headers);
        mHome =
                new HomeGateway(
                        node.service(),
                        new HomeGateway.Parts(
                                parts.loop(),
                                ticker,
                                memory,
                                ByteBufAllocator.DEFAULT,
                                mTarget,
                                mAdmission,
                                parts.tracer(),
                                metrics,
                                headers,
                                mLog));
        mLinks =
                new Links(parts.loop(), node.id(), parts.incarnation(), memory, ticker, mUpstreams);
        mBacklog = new EventLoopLag(ticker);
        mEntry =
                new EntryGateway(
                        this::isLocal,
                        new EntryGateway.Parts(
                                parts.loop(),
                                ticker,
                                parts.snapshots(),
                                parts.policies().requests(mContext),
                                mLinks,
                                mHome,
                                parts.tracer(),
                                metrics,
                                () -> mReady,
                                mBacklog,
                                headers,
                                () -> parts.policies().callerService(node),
                                mLog));
        mCallers = new CallerServer(mEntry, memory);
        mLinkServer = new LinkServer(node.id(), parts.incarnation(), mHome, memory, ticker);
        mDrain = newDrain();
        registerGauges(metrics, memory);
    }

    private DataDrain newDrain() {
        return new DataDrain(
                mParts.ticker(),
                mHome,
                mEntry,
                mCallers,
                mLinkServer,
                mLinks,
                mParts.policies().targetNoticeNanoseconds(),
                this::markOwnUpstreamLeaving);
    }

    private DataPolicies.Context newContext() {
        return new DataPolicies.Context(
                mParts.settings().node(),
                mParts.ticker(),
                mClock,
                new SplittableRandom(),
                mUpstreams,
                mGuard,
                mParts.lease());
    }

    /** Creates a data side that neither listens nor ticks before {@link #start()}. */
    public static DataSide of(Parts parts) {
        return new DataSide(parts);
    }

    /**
     * Binds the caller port and the node port and starts the ticks. Blocks the calling thread,
     * which must not be the data loop.
     *
     * @throws FoxtailmoorException of kind ADDRESS_IN_USE if a port can't be bound
     */
    public void start() {
        NodeSettings.NodeSection node = mParts.settings().node();
        mNodeAddress =
                bound(
                        mLinkServer.bind(mParts.loop(), address(node.nodePort())),
                        "node.node_port",
                        node.nodePort());
        mCallerAddress =
                bound(
                        mCallers.bind(mParts.loop(), address(node.callerPort())),
                        "node.caller_port",
                        node.callerPort());
        mSlowTickNanoseconds = mParts.ticker().nanoTime();
        mParts.loop().execute(this::tick);
    }

    /** Returns the bound address of the caller port, null before the start. */
    public InetSocketAddress callerAddress() {
        return mCallerAddress;
    }

    /** Returns the bound address of the node port, null before the start. */
    public InetSocketAddress nodeAddress() {
        return mNodeAddress;
    }

    /** Takes the snapshot that is in force now; to be called after each publication. */
    public void onPublished() {
        mParts.loop().execute(this::takeSnapshot);
    }

    /** Begins to serve. The terms of the key decisions count from here. */
    public void onReady() {
        mParts.loop().execute(this::open);
    }

    /** Merges crash counts of other nodes of the service. */
    public void onCrashReports(Collection<CrashReport> reports) {
        mParts.loop().execute(() -> mGuard.merge(reports));
    }

    /**
     * Explains how a request would be routed now.
     *
     * @param method HTTP method, not null
     * @param path path with or without query, not null
     * @return the explanation; fails with NO_ROUTE if no route matches
     */
    public CompletableFuture<Explanation> explain(String method, String path) {
        return CompletableFuture.supplyAsync(() -> explainNow(method, path), mParts.loop());
    }

    /**
     * Takes no new work for the target from now on, finishes what has begun and closes everything.
     *
     * @return completes when everything is closed
     */
    public CompletableFuture<Void> leave() {
        CompletableFuture<Void> drained = new CompletableFuture<>();
        mParts.loop().execute(() -> mDrain.start(drained));
        return drained;
    }

    /** Closes every connection at once; open requests are cut. */
    public void close() {
        mParts.loop().execute(this::closeAll);
    }

    private Explanation explainNow(String method, String path) {
        SnapshotReference.Use<RoutingSnapshot> use = mParts.snapshots().acquire();
        RoutingSnapshot snapshot = use.value();
        use.release();
        Route route = snapshot.route(method, path);
        if (route == null) {
            throw FoxtailmoorException.of(
                    ErrorKind.NO_ROUTE, "no route matches " + method + " " + path);
        }
        List<Explanation.UpstreamState> states = new ArrayList<>();
        for (Upstream upstream : snapshot.service(route.serviceId()).upstreams()) {
            states.add(
                    new Explanation.UpstreamState(
                            upstream,
                            mUpstreams.load(upstream.id()),
                            mUpstreams.linkState(upstream.id()),
                            mUpstreams.isUnreachable(upstream.id())));
        }
        return new Explanation(
                route, snapshot.catalogueVersion(), snapshot.instancesVersion(), states);
    }

    private void closeAll() {
        mDrain.closeNow();
        mTarget.close();
    }

    private void open() {
        if (mReady) {
            return;
        }
        mReady = true;
        mHome.open(mParts.policies().home(mContext, mAdmission));
    }

    /** Returns whether an upstream is the target beside this node. */
    private boolean isLocal(Upstream upstream) {
        NodeSettings.NodeSection node = mParts.settings().node();
        boolean sameAddress =
                upstream.nodePort() == node.nodePort() && upstream.address().equals(node.address());
        return sameAddress || upstream.id().equals(node.id());
    }

    private void markOwnUpstreamLeaving() {
        NodeSettings.NodeSection node = mParts.settings().node();
        mUpstreams.markLeaving(node.id());
        Upstream own =
                mSnapshot == null ? null : mSnapshot.upstreamAt(node.address(), node.nodePort());
        if (own != null) {
            mUpstreams.markLeaving(own.id());
        }
    }

    private void takeSnapshot() {
        SnapshotReference.Use<RoutingSnapshot> use = mParts.snapshots().acquire();
        RoutingSnapshot snapshot = use.value();
        use.release();
        if (snapshot == mSnapshot) {
            return;
        }
        mSnapshot = snapshot;
        mUpstreams.update(snapshot);
        mHome.update(snapshot);
    }

    private void tick() {
        try {
            runSystems();
        } catch (RuntimeException e) {
            // One faulty row must not stop the systems for all others.
            LOGGER.error("a data tick failed", e);
        }
        long next = mHome.isIdle() ? SLOW_TICK_MILLISECONDS : TICK_MILLISECONDS;
        mBacklog.tickScheduled(TimeUnit.MILLISECONDS.toNanos(next));
        mParts.loop().schedule(this::tick, next, TimeUnit.MILLISECONDS);
    }

    private void runSystems() {
        long now = mParts.ticker().nanoTime();
        mHome.tick();
        mDrain.tick();
        if (now - mSlowTickNanoseconds >= SLOW_TICK_NANOSECONDS) {
            mSlowTickNanoseconds = now;
            slowTick();
        }
    }

    private void slowTick() {
        mUpstreams.tick();
        mLinks.tick();
        mLinkServer.tick();
        reportCrashes();
        mSlowTicks++;
        if (mSlowTicks % SLOW_TICKS_PER_SECOND == 0) {
            mCallers.tick();
            mLog.tick();
            mClock.adjust(mParts.timeOfDay().getAsLong());
        }
    }

    private void reportCrashes() {
        List<CrashReport> reports = mGuard.reports();
        if (!reports.equals(mReported)) {
            reports.stream()
                    .filter(report -> !mReported.contains(report))
                    .forEach(mParts.crashReporter());
            mReported = reports;
        }
    }

    private void registerGauges(DataMetrics metrics, BodyMemory memory) {
        metrics.gauge("bodies.reserved_bytes", memory::reservedBytes);
        metrics.gauge("entry.open_requests", mEntry::openRequests);
        metrics.gauge("entry.caller_connections", mCallers::openConnections);
        metrics.gauge("links.outgoing_peers", mLinks::peers);
        metrics.gauge("links.incoming_links", mLinkServer::openLinks);
        metrics.gauge("target.connections", mTarget::openConnections);
        metrics.gauge("home.running_requests", () -> mAdmission.load().getRunning());
        metrics.gauge("home.queued_requests", () -> mAdmission.load().getQueued());
    }

    private InetSocketAddress address(int port) {
        return new InetSocketAddress(mParts.settings().node().address(), port);
    }

    private static InetSocketAddress bound(ChannelFuture future, String key, int port) {
        future.awaitUninterruptibly();
        if (!future.isSuccess()) {
            throw FoxtailmoorException.of(
                    ErrorKind.ADDRESS_IN_USE,
                    "cannot listen on " + key + " = " + port + ": " + future.cause().getMessage(),
                    future.cause());
        }
        return (InetSocketAddress) future.channel().localAddress();
    }
}
