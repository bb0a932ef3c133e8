package org.foxtailmoor.node.data;

import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Ticker;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.core.admission.AdmissionPolicy;
import org.foxtailmoor.core.admission.BodyMemory;
import org.foxtailmoor.core.home.CrashTable;
import org.foxtailmoor.core.home.Fingerprint;
import org.foxtailmoor.core.home.HomeDecisions;
import org.foxtailmoor.core.home.TargetHealth;
import org.foxtailmoor.core.home.TargetMonitor;
import org.foxtailmoor.core.routing.IdempotencyKey;
import org.foxtailmoor.core.routing.Route;
import org.foxtailmoor.core.routing.RoutingSnapshot;
import org.foxtailmoor.node.trace.Hop;
import org.foxtailmoor.node.trace.HopTracer;
import org.foxtailmoor.protocol.generated.CrashCount;
import org.foxtailmoor.protocol.generated.Load;
import org.foxtailmoor.protocol.generated.RequestStart;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Accepts requests at their home node and runs them on the target as the policy decides. */
final class HomeGateway implements Home {
    private static final Logger LOGGER = LoggerFactory.getLogger(HomeGateway.class);

    /**
     * Time for which crashes are collected before they are reported. The connections of one crashed
     * target are found closed one by one; reporting their requests together prevents dispatching
     * another one to the crashed target in between.
     */
    private static final long CRASH_BATCH_MILLISECONDS = 5;

    /** Dependencies of the gateway; no component may be null. */
    record Dependencies(
            EventLoop loop,
            Ticker ticker,
            ShutdownWindow shutdownWindow,
            BodyMemory memory,
            ByteBufAllocator allocator,
            TargetClient target,
            AdmissionPolicy admission,
            HopTracer tracer,
            DataMetrics metrics,
            HeaderNames headers,
            DecisionLog log,
            CrashTable crashes) {}

    private final String mServiceId;
    private final Dependencies mDependencies;
    private final List<HomeTask> mCrashedTasks = new ArrayList<>();
    private List<TargetConnection> mConnectionsAtCrash = List.of();
    private final TargetMonitor mTargetMonitor;
    private final HealthChecks mHealthChecks;
    private TargetStateListener mTargetStateListener = (down, changed) -> {};
    private final Set<HomeTask> mOpenTasks = new LinkedHashSet<>();
    private RoutingSnapshot mSnapshot;
    private HomeDecisions mDecisions;
    private boolean mLeaving;

    HomeGateway(String serviceId, Dependencies dependencies) {
        mServiceId = serviceId;
        mDependencies = dependencies;
        mTargetMonitor = TargetMonitor.of(dependencies.ticker());
        mHealthChecks =
                new HealthChecks(
                        dependencies.target(),
                        dependencies.ticker(),
                        dependencies.headers(),
                        dependencies.metrics());
        dependencies.target().setConnectListener(this::onTargetConnect);
    }

    @Override
    public Cancellable submit(HomeCall call, OutcomeListener listener) {
        mDependencies.metrics().homeRequests().inc();
        RequestStart start = call.start();
        ErrorKind refusal = findRefusal(start, call.deadlineNanoseconds());
        if (refusal != null) {
            call.body().release();
            logFailure(start, refusal, "the request is not accepted by this node");
            mDependencies.metrics().countHomeRefusal(refusal);
            listener.onOutcome(Outcome.Failure.of(refusal, ErrorMessages.of(refusal)));
            return Cancellable.NONE;
        }
        mDependencies.crashes().merge(start.getCrashCountsList());
        Route route = mSnapshot.routeById(start.getRouteId());
        IdempotencyKey key = IdempotencyKey.parse(start.getIdempotencyKey());
        String traceparent = HeaderFields.find(start.getHeadersList(), HeaderFields.TRACEPARENT);
        Hop hop = mDependencies.tracer().start("home", start.getRouteId(), traceparent);
        HomeTask task = new HomeTask(this, call, route, key, hop, listener);
        mOpenTasks.add(task);
        mDecisions.accept(task);
        mHealthChecks.sendIfDue(mDecisions);
        return task::cancel;
    }

    @Override
    public void onExpiredInTransit(RequestStart start, long transitNanoseconds) {
        ErrorKind kind = ErrorKind.DEADLINE_BEFORE_RUN;
        mDependencies.metrics().homeRequests().inc();
        mDependencies.metrics().homeExpiredInTransit().inc();
        mDependencies.metrics().countHomeRefusal(kind);
        long milliseconds = TimeUnit.NANOSECONDS.toMillis(transitNanoseconds);
        logFailure(start, kind, "the deadline passed in transit, delayed " + milliseconds + " ms");
    }

    @Override
    public Load load() {
        Load load = mDependencies.admission().load();
        return mTargetMonitor.isDown() ? load.toBuilder().setTargetDown(true).build() : load;
    }

    @Override
    public boolean isLeaving() {
        return mLeaving;
    }

    @Override
    public boolean isTargetLeaving() {
        return mDecisions != null && mDecisions.isTargetLeaving();
    }

    /** Sets the listener for the state of the target. */
    void setTargetStateListener(TargetStateListener listener) {
        mTargetStateListener = listener;
    }

    /** Applies the current routing snapshot. */
    void update(RoutingSnapshot snapshot) {
        mSnapshot = snapshot;
        if (mDecisions != null) {
            mDecisions.update(snapshot, mServiceId);
            mHealthChecks.logChanges(mDecisions);
        }
    }

    /**
     * Starts accepting requests. The terms of idempotency keys begin now.
     *
     * @param decisions policy without state, not null
     */
    void startServing(HomeDecisions decisions) {
        mDecisions = decisions;
        if (mSnapshot != null) {
            mDecisions.update(mSnapshot, mServiceId);
        }
        if (mLeaving) {
            mDecisions.leave();
        }
    }

    /** Starts refusing new requests. */
    void leave() {
        mLeaving = true;
        if (mDecisions != null) {
            mDecisions.leave();
        }
    }

    /** Returns whether no request is running or queued. */
    boolean isIdle() {
        return mDecisions == null || (mDecisions.isIdle() && mCrashedTasks.isEmpty());
    }

    /** Returns whether the target is known to be cold. */
    boolean isTargetCold() {
        TargetHealth health = mDecisions == null ? null : mDecisions.targetHealth();
        return health != null && health.isCold();
    }

    /** Returns the number of starts that were delayed because the target may be cold. */
    long delayedStarts() {
        TargetHealth health = mDecisions == null ? null : mDecisions.targetHealth();
        return health == null ? 0 : health.delayedStarts();
    }

    int openRequests() {
        return mOpenTasks.size();
    }

    /** Ends all requests; those that have not reached the target are refused as not run. */
    void endOpenRequests() {
        List<HomeTask> open = List.copyOf(mOpenTasks);
        // Queued requests first, because a slot that becomes free would start one.
        open.stream().filter(task -> !task.isDispatched()).forEach(HomeTask::endByShutdown);
        open.forEach(HomeTask::endByShutdown);
    }

    void onEnded(HomeTask task) {
        mOpenTasks.remove(task);
        mHealthChecks.sendIfDue(mDecisions);
    }

    /**
     * Returns whether a request may be sent to the target now. While the node shuts down, a request
     * that must not be repeated is sent only if its deadline passes before the end.
     */
    boolean maySend(RequestStart start, long deadlineNanoseconds) {
        ShutdownWindow window = mDependencies.shutdownWindow();
        return start.getIdempotent()
                ? window.allows(deadlineNanoseconds)
                : window.endsInTime(deadlineNanoseconds);
    }

    /**
     * Refuses a request whose dispatch came too late, after the admission has finished its step.
     */
    void refuseAtDispatch(HomeTask task) {
        mDependencies.loop().execute(() -> mDecisions.notRun(task, ErrorKind.LEAVING));
    }

    void tick() {
        if (mDecisions != null) {
            mDecisions.tick();
            mHealthChecks.sendIfDue(mDecisions);
            mHealthChecks.logChanges(mDecisions);
        }
        mDependencies.target().tick();
        if (mTargetMonitor.startProbeIfDue()) {
            probeTarget();
        }
    }

    /** Records a crash for a task; reported together with crashes found shortly afterwards. */
    void onCrash(HomeTask task) {
        mDependencies.metrics().targetCrashes().inc();
        onTargetLost();
        if (mCrashedTasks.isEmpty()) {
            mConnectionsAtCrash = mDependencies.target().connections();
            mDependencies
                    .loop()
                    .schedule(this::reportCrashes, CRASH_BATCH_MILLISECONDS, TimeUnit.MILLISECONDS);
        }
        mCrashedTasks.add(task);
    }

    /** Returns a collector for a body of known length, or null if the memory is full. */
    BodyCollector newCollector(int bytes) {
        return BodyCollector.of(mDependencies.memory(), mDependencies.allocator(), bytes, bytes);
    }

    /** Logs a request that ends without an answer from this node. */
    void logFailure(RequestStart start, ErrorKind kind, String cause) {
        mDependencies.log().homeFailed(start, mDependencies.headers(), load(), kind, cause);
    }

    /** Returns the known crash counts of a fingerprint. */
    List<CrashCount> crashCounts(Fingerprint fingerprint) {
        return mDependencies.crashes().counts(fingerprint);
    }

    HeaderNames headers() {
        return mDependencies.headers();
    }

    Ticker ticker() {
        return mDependencies.ticker();
    }

    TargetClient target() {
        return mDependencies.target();
    }

    HomeDecisions decisions() {
        return mDecisions;
    }

    DataMetrics metrics() {
        return mDependencies.metrics();
    }

    private void reportCrashes() {
        List<HomeTask> crashed = List.copyOf(mCrashedTasks);
        mCrashedTasks.clear();
        // A crash ends all connections; a target that keeps others has only broken off one answer.
        // Later connections do not count, because the target may be back already.
        boolean keepsOthers = mConnectionsAtCrash.stream().anyMatch(TargetConnection::isOpen);
        mConnectionsAtCrash = List.of();
        if (crashed.size() == 1 && keepsOthers) {
            mDecisions.failed(crashed.get(0), ErrorKind.UPSTREAM_FAILED);
            return;
        }
        mDependencies.metrics().crashes().inc();
        for (HomeTask task : crashed) {
            mDependencies
                    .log()
                    .crashed(
                            task.start(),
                            mDependencies.headers(),
                            task.crashFingerprint(),
                            crashed.size());
        }
        mDecisions.crashed(crashed);
        if (mTargetMonitor.startProbe()) {
            probeTarget();
        }
    }

    private void probeTarget() {
        mDependencies.target().probe(mTargetMonitor::onProbeEnded);
    }

    private void onTargetLost() {
        TargetHealth health = mDecisions == null ? null : mDecisions.targetHealth();
        if (health != null) {
            health.onTargetLost();
        }
    }

    private void onTargetConnect(boolean success) {
        if (!success) {
            onTargetLost();
        }
        boolean changed =
                success
                        ? mTargetMonitor.onConnected()
                        : mTargetMonitor.onConnectFailed(mDependencies.target().openConnections());
        if (changed) {
            LOGGER.info(
                    "the target at {} {}",
                    mDependencies.target().address(),
                    success ? "accepts connections again" : "accepts no connections");
        }
        if (changed || mTargetMonitor.isDown()) {
            mTargetStateListener.onTargetState(mTargetMonitor.isDown(), changed);
        }
    }

    /** Returns the reason to refuse a request, or null to accept it. */
    private ErrorKind findRefusal(RequestStart start, long deadlineNanoseconds) {
        if (mSnapshot == null || mDecisions == null) {
            return mLeaving ? ErrorKind.LEAVING : ErrorKind.NOT_READY;
        }
        if (start.getMethod().isEmpty() || !start.getPath().startsWith("/")) {
            return ErrorKind.BAD_REQUEST;
        }
        // The outcome of a known idempotency key is available without the target.
        if (mTargetMonitor.isDown() && start.getIdempotencyKey().isEmpty()) {
            return ErrorKind.NO_UPSTREAM;
        }
        ErrorKind refusal = mDecisions.refusalReason(start);
        return refusal == null && !maySend(start, deadlineNanoseconds)
                ? ErrorKind.LEAVING
                : refusal;
    }
}
