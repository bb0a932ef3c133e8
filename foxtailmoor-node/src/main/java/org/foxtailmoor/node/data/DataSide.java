package org.foxtailmoor.node.data;

import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Ticker;
import java.net.InetSocketAddress;
import java.time.Duration;
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
import org.foxtailmoor.core.admission.BodyTransfers;
import org.foxtailmoor.core.admission.CallFailureLimits;
import org.foxtailmoor.core.admission.EventLoopLag;
import org.foxtailmoor.core.admission.OutgoingBodies;
import org.foxtailmoor.core.distribution.ViewLease;
import org.foxtailmoor.core.home.CrashGuard;
import org.foxtailmoor.core.routing.EpochClock;
import org.foxtailmoor.core.routing.RegionLinks;
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
 * Request path of a node: the caller port, the node port, the links, the target client and the
 * policies that decide about requests. All work runs on the data loop; the public methods may be
 * called from any thread.
 */
public final class DataSide {
    private static final Logger LOGGER = LoggerFactory.getLogger(DataSide.class);
    private static final long TICK_MILLISECONDS = 20;

    /** Part of the body memory that answers may use, so that uploads always have the rest. */
    private static final double ANSWER_MEMORY_RATIO = 0.75;

    /**
     * Tick interval while the home has no requests, and interval of the periodic tasks that
     * tolerate it. Keeps the CPU use of an idle node low.
     */
    static final long SLOW_TICK_MILLISECONDS = 100;

    private static final long SLOW_TICK_NANOSECONDS =
            TimeUnit.MILLISECONDS.toNanos(SLOW_TICK_MILLISECONDS);
    private static final long SECOND_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);

    /**
     * Dependencies of a data side; no component may be null.
     *
     * @param settings settings of the node
     * @param incarnation start time of the process in milliseconds since the epoch
     * @param loop data loop
     * @param ticker monotonic clock
     * @param timeOfDay wall clock in milliseconds since the epoch, for the age of idempotency keys
     * @param metrics registry for the metrics
     * @param tracer records the trace hops
     * @param snapshots reference to the current routing snapshot
     * @param lease supplies the current view lease, or null
     * @param crashReporter receives changed crash counts for distribution, on the data loop
     * @param policies policies that decide about requests
     */
    public record Dependencies(
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

    private final Dependencies mDependencies;
    private final DataMetrics mMetrics;
    private final DecisionLog mLog;
    private final EpochClock mClock;
    private final ShutdownWindow mShutdownWindow;
    private final RegionLinks mRegionLinks;
    private final UpstreamTable mUpstreams;
    private final OwnUpstream mOwnUpstream;
    private final DataPolicies.Context mContext;
    private final CallFailureLimits mCallLimits;
    private final AdmissionPolicy mAdmission;
    private final CrashGuard mCrashGuard;
    private final CrashReplication mCrashes;
    private final TargetClient mTarget;
    private final HomeGateway mHome;
    private final Links mLinks;
    private final EntryGateway mEntry;
    private final EventLoopLag mEventLoopLag;
    private final CallerServer mCallers;
    private final LinkServer mLinkServer;
    private final NodePort mNodePort;
    private final DataDrain mDrain;
    private InetSocketAddress mCallerAddress;
    private InetSocketAddress mNodeAddress;
    private RoutingSnapshot mSnapshot;
    private List<CrashReport> mReportedCrashes = List.of();
    private boolean mReady;
    private long mLastSecondNanoseconds;
    private long mLastSlowTickNanoseconds;

    private DataSide(Dependencies dependencies) {
        mDependencies = dependencies;
        NodeSettings.NodeSection node = dependencies.settings().node();
        EventLoop loop = dependencies.loop();
        Ticker ticker = dependencies.ticker();
        HeaderNames headers = dependencies.policies().headers();
        BodyMemory memory = BodyMemory.of(node.bodyMemoryBytes());
        BodyMemory answerMemory = memory.part(ANSWER_MEMORY_RATIO);
        DataMetrics metrics = new DataMetrics(dependencies.metrics());
        mMetrics = metrics;
        mLog = new DecisionLog(ticker);
        mClock = EpochClock.of(ticker, dependencies.timeOfDay().getAsLong());
        mShutdownWindow = new ShutdownWindow(ticker);
        mEventLoopLag = new EventLoopLag(ticker);
        mRegionLinks = RegionLinkReports.newLinks(ticker, node.region(), mEventLoopLag, metrics);
        mUpstreams = UpstreamTable.of(ticker, mRegionLinks);
        mOwnUpstream = new OwnUpstream(node, mUpstreams);
        mCrashGuard = CrashGuard.of(ticker, node.service(), node.id());
        mCrashes = newCrashReplication();
        mCallLimits = CallFailureLimits.of(ticker);
        mCallLimits.setListener(mLog::callLimitCut);
        mContext = newContext();
        mAdmission = dependencies.policies().newAdmissionPolicy(mContext);
        mTarget = newTarget(answerMemory);
        mHome = newHome(memory);
        mLinks = newLinks(answerMemory);
        mEntry =
                new EntryGateway(
                        mOwnUpstream::matches,
                        new EntryGateway.Dependencies(
                                loop,
                                ticker,
                                mShutdownWindow,
                                dependencies.snapshots(),
                                dependencies.policies().newRequestDecisions(mContext),
                                mLinks,
                                mHome,
                                dependencies.tracer(),
                                metrics,
                                () -> mReady,
                                mEventLoopLag,
                                headers,
                                () -> dependencies.policies().callerService(node),
                                mCallLimits,
                                mLog));
        mCallers = new CallerServer(mEntry, memory);
        mLinkServer = newLinkServer(memory);
        mNodePort = new NodePort(loop, address(node.nodePort()), mLinkServer);
        if (dependencies.policies().exchangesCrashes()) {
            mLinks.setCrashExchange(mCrashes::receive);
            mLinkServer.setCrashExchange(mCrashes::receive);
        }
        mDrain = newDrain();
        newGauges(memory).register(metrics);
    }

    private TargetClient newTarget(BodyMemory memory) {
        return new TargetClient(
                mDependencies.loop(),
                mDependencies.settings().target().socketAddress(),
                memory,
                mDependencies.ticker(),
                mDependencies.policies().headers());
    }

    private DataGauges newGauges(BodyMemory memory) {
        return new DataGauges(
                memory,
                mEntry,
                mCallers,
                mLinks,
                mLinkServer,
                mHome,
                mTarget,
                mAdmission,
                mCallLimits,
                mCrashes,
                this::evacuatedZones);
    }

    private CrashReplication newCrashReplication() {
        return new CrashReplication(
                mDependencies.settings().node(),
                mDependencies.incarnation(),
                mDependencies.ticker(),
                new SplittableRandom(),
                mLog,
                mOwnUpstream::matches,
                (member, message) -> mLinks.sendMessage(member, Frames.crashExchange(message)));
    }

    private HomeGateway newHome(BodyMemory memory) {
        return new HomeGateway(
                mDependencies.settings().node().service(),
                new HomeGateway.Dependencies(
                        mDependencies.loop(),
                        mDependencies.ticker(),
                        mShutdownWindow,
                        memory,
                        ByteBufAllocator.DEFAULT,
                        mTarget,
                        mAdmission,
                        mDependencies.tracer(),
                        mMetrics,
                        mDependencies.policies().headers(),
                        mLog,
                        mCrashes.table()));
    }

    private Links newLinks(BodyMemory memory) {
        return new Links(
                mDependencies.loop(),
                mDependencies.settings().node().id(),
                mDependencies.incarnation(),
                memory,
                mDependencies.ticker(),
                mUpstreams);
    }

    private LinkServer newLinkServer(BodyMemory memory) {
        NodeSettings.NodeSection node = mDependencies.settings().node();
        return new LinkServer(
                node.id(),
                mDependencies.incarnation(),
                mHome,
                memory,
                mDependencies.ticker(),
                BodyTransfers.of(mDependencies.ticker(), node.linkMegabitsPerSecond()),
                OutgoingBodies.of(
                        mDependencies.ticker(),
                        node.linkMegabitsPerSecond(),
                        (task, delay) ->
                                mDependencies.loop().schedule(task, delay, TimeUnit.NANOSECONDS)));
    }

    private DataDrain newDrain() {
        return new DataDrain(
                mDependencies.ticker(),
                mShutdownWindow,
                mHome,
                mEntry,
                mCallers,
                mLinkServer,
                mLinks,
                mDependencies.policies().targetDrainDelayNanoseconds(),
                mOwnUpstream::markLeaving);
    }

    private DataPolicies.Context newContext() {
        return new DataPolicies.Context(
                mDependencies.settings().node(),
                mDependencies.ticker(),
                mClock,
                new SplittableRandom(),
                mUpstreams,
                mCrashGuard,
                mCrashes.table(),
                mCallLimits,
                mDependencies.lease());
    }

    /** Creates a data side; it is inactive until {@link #start()}. */
    public static DataSide of(Dependencies dependencies) {
        return new DataSide(dependencies);
    }

    /**
     * Binds the caller port and schedules the first tick. The node port is only checked: until the
     * node is ready, other nodes are refused connections and place their requests elsewhere. A node
     * port that the operating system chooses is bound at once, because others have to learn it.
     * Blocks; must not be called on the data loop.
     *
     * @throws FoxtailmoorException of kind ADDRESS_IN_USE if a port cannot be bound
     */
    public void start() {
        NodeSettings.NodeSection node = mDependencies.settings().node();
        mHome.setTargetStateListener(this::onTargetState);
        mNodeAddress = mNodePort.start();
        mCallerAddress =
                ListeningPort.awaitBind(
                        mCallers.bind(mDependencies.loop(), address(node.callerPort())),
                        "node.caller_port",
                        node.callerPort());
        mLastSlowTickNanoseconds = mDependencies.ticker().nanoTime();
        mLastSecondNanoseconds = mLastSlowTickNanoseconds;
        mDependencies.loop().execute(this::tick);
    }

    /** Returns the bound address of the caller port, or null before {@link #start()}. */
    public InetSocketAddress callerAddress() {
        return mCallerAddress;
    }

    /** Returns the address of the node port, or null before {@link #start()}. */
    public InetSocketAddress nodeAddress() {
        return mNodeAddress;
    }

    /** Applies the current routing snapshot; call after each publication. */
    public void onPublished() {
        mDependencies.loop().execute(this::applySnapshot);
    }

    /** Starts serving requests. The terms of idempotency keys begin now. */
    public void onReady() {
        mDependencies.loop().execute(this::startServing);
    }

    /** Merges crash counts reported by other nodes of the service. */
    public void onCrashReports(Collection<CrashReport> reports) {
        mDependencies.loop().execute(() -> mCrashGuard.merge(reports));
    }

    /**
     * Explains how a request would be routed now.
     *
     * @param method HTTP method, not null
     * @param path path with or without query, not null
     * @return future explanation; fails with NO_ROUTE if no route matches
     */
    public CompletableFuture<Explanation> explain(String method, String path) {
        return CompletableFuture.supplyAsync(
                () -> newExplanation(method, path), mDependencies.loop());
    }

    /**
     * Starts a graceful shutdown: refuses new requests for the target after the drain delay,
     * completes the open ones and closes all connections. Requests that are still open at the
     * timeout are answered with an error.
     *
     * @param timeout maximum duration, not null
     * @return future that completes when all connections are closed
     */
    public CompletableFuture<Void> leave(Duration timeout) {
        CompletableFuture<Void> drained = new CompletableFuture<>();
        long end = mDependencies.ticker().nanoTime() + timeout.toNanos();
        mDependencies.loop().execute(() -> mDrain.start(end, drained));
        return drained;
    }

    /** Closes every connection immediately, interrupting open requests. */
    public void close() {
        mDependencies.loop().execute(this::closeAll);
    }

    private Explanation newExplanation(String method, String path) {
        SnapshotReference.Use<RoutingSnapshot> use = mDependencies.snapshots().acquire();
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

    private void startServing() {
        if (mReady) {
            return;
        }
        mReady = true;
        mHome.startServing(mDependencies.policies().newHomeDecisions(mContext, mAdmission));
        mNodePort.listen();
    }

    private void onTargetState(boolean down, boolean changed) {
        mOwnUpstream.reportTargetDown(down);
        if (changed) {
            mLinkServer.sendLoad();
        }
    }

    private void applySnapshot() {
        SnapshotReference.Use<RoutingSnapshot> use = mDependencies.snapshots().acquire();
        RoutingSnapshot snapshot = use.value();
        use.release();
        if (snapshot == mSnapshot) {
            return;
        }
        mSnapshot = snapshot;
        mUpstreams.update(snapshot);
        mOwnUpstream.update(snapshot);
        mHome.update(snapshot);
        mLinkServer.update(snapshot);
        if (mHome.isTargetLeaving()) {
            mLinkServer.refuseIncompleteRequests();
        }
        if (mDependencies.policies().exchangesCrashes()) {
            mCrashes.update(snapshot);
        }
    }

    private void tick() {
        mMetrics.loopDelay().update(mEventLoopLag.nanoseconds(), TimeUnit.NANOSECONDS);
        mRegionLinks.recordLoopDelay(mEventLoopLag.nanoseconds());
        try {
            runPeriodicTasks();
        } catch (RuntimeException e) {
            // A failing task must not end the periodic tick.
            LOGGER.error("a data tick failed", e);
        }
        boolean slow = mHome.isIdle() && !mDrain.isActive();
        long delayMilliseconds = slow ? SLOW_TICK_MILLISECONDS : TICK_MILLISECONDS;
        mEventLoopLag.tickScheduled(TimeUnit.MILLISECONDS.toNanos(delayMilliseconds));
        mDependencies.loop().schedule(this::tick, delayMilliseconds, TimeUnit.MILLISECONDS);
    }

    private void runPeriodicTasks() {
        long now = mDependencies.ticker().nanoTime();
        mHome.tick();
        mCrashes.tick();
        mDrain.tick();
        if (now - mLastSlowTickNanoseconds >= SLOW_TICK_NANOSECONDS) {
            mLastSlowTickNanoseconds = now;
            slowTick(now);
        }
    }

    private void slowTick(long now) {
        if (mReady && !mDependencies.policies().headers().targetLoad().isEmpty()) {
            mOwnUpstream.reportLoad(mHome.load());
        }
        mUpstreams.tick();
        mLinks.tick();
        mLinkServer.tick();
        reportCrashes();
        if (now - mLastSecondNanoseconds >= SECOND_NANOSECONDS) {
            mLastSecondNanoseconds = now;
            mCallers.tick();
            mLog.tick();
            mClock.adjust(mDependencies.timeOfDay().getAsLong());
        }
    }

    private void reportCrashes() {
        List<CrashReport> reports = mCrashGuard.reports();
        if (!reports.equals(mReportedCrashes)) {
            reports.stream()
                    .filter(report -> !mReportedCrashes.contains(report))
                    .forEach(mDependencies.crashReporter());
            mReportedCrashes = reports;
        }
    }

    private int evacuatedZones() {
        return mSnapshot == null ? 0 : mSnapshot.evacuatedZones().size();
    }

    private InetSocketAddress address(int port) {
        return new InetSocketAddress(mDependencies.settings().node().address(), port);
    }
}
