package org.foxtailmoor.node.data;

import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Ticker;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.core.admission.AdmissionPolicy;
import org.foxtailmoor.core.admission.BodyMemory;
import org.foxtailmoor.core.home.CrashTable;
import org.foxtailmoor.core.home.Fingerprint;
import org.foxtailmoor.core.home.HomeDecisions;
import org.foxtailmoor.core.routing.IdempotencyKey;
import org.foxtailmoor.core.routing.Route;
import org.foxtailmoor.core.routing.RoutingSnapshot;
import org.foxtailmoor.node.trace.Hop;
import org.foxtailmoor.node.trace.HopTracer;
import org.foxtailmoor.protocol.generated.CrashCount;
import org.foxtailmoor.protocol.generated.Load;
import org.foxtailmoor.protocol.generated.RequestStart;

/** Accepts requests at their home node and runs them on the target as the policy decides. */
final class HomeGateway implements Home {
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
    private RoutingSnapshot mSnapshot;
    private HomeDecisions mDecisions;
    private boolean mLeaving;

    HomeGateway(String serviceId, Dependencies dependencies) {
        mServiceId = serviceId;
        mDependencies = dependencies;
    }

    @Override
    public Cancellable submit(HomeCall call, OutcomeListener listener) {
        mDependencies.metrics().homeRequests().inc();
        RequestStart start = call.start();
        ErrorKind refusal = findRefusal(start);
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
        mDecisions.accept(task);
        return task::cancel;
    }

    @Override
    public Load load() {
        return mDependencies.admission().load();
    }

    @Override
    public boolean isLeaving() {
        return mLeaving;
    }

    /** Applies the current routing snapshot. */
    void update(RoutingSnapshot snapshot) {
        mSnapshot = snapshot;
        if (mDecisions != null) {
            mDecisions.update(snapshot, mServiceId);
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

    void tick() {
        if (mDecisions != null) {
            mDecisions.tick();
        }
        mDependencies.target().tick();
    }

    /** Records a crash for a task; reported together with crashes found shortly afterwards. */
    void onCrash(HomeTask task) {
        mDependencies.metrics().targetCrashes().inc();
        if (mCrashedTasks.isEmpty()) {
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
        if (crashed.size() == 1 && mDependencies.target().openConnections() > 0) {
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
                            task.fingerprint(),
                            crashed.size());
        }
        mDecisions.crashed(crashed);
    }

    /** Returns the reason to refuse a request, or null to accept it. */
    private ErrorKind findRefusal(RequestStart start) {
        if (mSnapshot == null || mDecisions == null) {
            return mLeaving ? ErrorKind.LEAVING : ErrorKind.NOT_READY;
        }
        if (start.getMethod().isEmpty() || !start.getPath().startsWith("/")) {
            return ErrorKind.BAD_REQUEST;
        }
        return mDecisions.refusalReason(start);
    }
}
