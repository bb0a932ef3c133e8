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
import org.foxtailmoor.core.home.HomeDecisions;
import org.foxtailmoor.core.routing.IdempotencyKey;
import org.foxtailmoor.core.routing.Route;
import org.foxtailmoor.core.routing.RoutingSnapshot;
import org.foxtailmoor.node.trace.Hop;
import org.foxtailmoor.node.trace.HopTracer;
import org.foxtailmoor.protocol.generated.Load;
import org.foxtailmoor.protocol.generated.RequestStart;

/** Connects the decisions about requests at their home with the target. */
final class HomeGateway implements Home {
    /**
     * Time in which the connections of one crashed target are found closed. Their requests are
     * reported together, so that none is dispatched to the dying target in between.
     */
    private static final long CRASH_GATHERING_MILLISECONDS = 5;

    /** Parts that a home is built from; no component may be null. */
    record Parts(
            EventLoop loop,
            Ticker ticker,
            BodyMemory memory,
            ByteBufAllocator allocator,
            TargetClient target,
            AdmissionPolicy admission,
            HopTracer tracer,
            DataMetrics metrics,
            HeaderNames headers,
            DecisionLog log) {}

    private final String mServiceId;
    private final Parts mParts;
    private final List<HomeTask> mCrashed = new ArrayList<>();
    private RoutingSnapshot mSnapshot;
    private HomeDecisions mRequests;
    private boolean mLeaving;

    HomeGateway(String serviceId, Parts parts) {
        mServiceId = serviceId;
        mParts = parts;
    }

    @Override
    public Cancellable submit(HomeCall call, OutcomeListener listener) {
        mParts.metrics().homeRequests().inc();
        RequestStart start = call.start();
        ErrorKind refusal = check(start);
        if (refusal != null) {
            call.body().release();
            onFailed(start, refusal, "the request can't be taken here");
            mParts.metrics().countHomeRefusal(refusal);
            listener.onOutcome(Outcome.Failure.of(refusal, ErrorMessages.of(refusal)));
            return Cancellable.NONE;
        }
        Route route = mSnapshot.routeById(start.getRouteId());
        IdempotencyKey key = IdempotencyKey.parse(start.getIdempotencyKey());
        String traceparent = HeaderFields.find(start.getHeadersList(), HeaderFields.TRACEPARENT);
        Hop hop = mParts.tracer().start("home", start.getRouteId(), traceparent);
        HomeTask task = new HomeTask(this, call, route, key, hop, listener);
        mRequests.accept(task);
        return task::cancel;
    }

    @Override
    public Load load() {
        return mParts.admission().load();
    }

    @Override
    public boolean isLeaving() {
        return mLeaving;
    }

    /** Takes the routing snapshot in force. */
    void update(RoutingSnapshot snapshot) {
        mSnapshot = snapshot;
        if (mRequests != null) {
            mRequests.update(snapshot, mServiceId);
        }
    }

    /**
     * Begins to take requests. The terms of the key decisions count from here.
     *
     * @param requests decisions without state, not null
     */
    void open(HomeDecisions requests) {
        mRequests = requests;
        if (mSnapshot != null) {
            mRequests.update(mSnapshot, mServiceId);
        }
        if (mLeaving) {
            mRequests.leave();
        }
    }

    /** Refuses new work from now on. */
    void leave() {
        mLeaving = true;
        if (mRequests != null) {
            mRequests.leave();
        }
    }

    /** Returns whether no request runs or waits. */
    boolean isIdle() {
        return mRequests == null || (mRequests.isIdle() && mCrashed.isEmpty());
    }

    void tick() {
        if (mRequests != null) {
            mRequests.tick();
        }
        mParts.target().tick();
    }

    /** Counts a crash for a task, together with those that are found within a short time. */
    void onCrash(HomeTask task) {
        mParts.metrics().targetCrashes().inc();
        if (mCrashed.isEmpty()) {
            mParts.loop()
                    .schedule(
                            this::reportCrashes,
                            CRASH_GATHERING_MILLISECONDS,
                            TimeUnit.MILLISECONDS);
        }
        mCrashed.add(task);
    }

    /** Returns a collector for a body of known length, or null if the memory is full. */
    BodyCollector collector(int bytes) {
        return BodyCollector.of(mParts.memory(), mParts.allocator(), bytes, bytes);
    }

    /** Logs a request that gets no answer from here. */
    void onFailed(RequestStart start, ErrorKind kind, String cause) {
        mParts.log().homeFailed(start, mParts.headers(), load(), kind, cause);
    }

    Ticker ticker() {
        return mParts.ticker();
    }

    TargetClient target() {
        return mParts.target();
    }

    HomeDecisions requests() {
        return mRequests;
    }

    DataMetrics metrics() {
        return mParts.metrics();
    }

    private void reportCrashes() {
        List<HomeTask> crashed = List.copyOf(mCrashed);
        mCrashed.clear();
        mRequests.crashed(crashed);
    }

    /** Returns why the home can't take a request, or null. */
    private ErrorKind check(RequestStart start) {
        if (mSnapshot == null || mRequests == null) {
            return mLeaving ? ErrorKind.LEAVING : ErrorKind.NOT_READY;
        }
        if (start.getMethod().isEmpty() || !start.getPath().startsWith("/")) {
            return ErrorKind.BAD_REQUEST;
        }
        return mRequests.refusalReason(start);
    }
}
