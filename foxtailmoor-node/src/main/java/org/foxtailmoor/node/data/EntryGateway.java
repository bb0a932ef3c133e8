package org.foxtailmoor.node.data;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Ticker;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.core.admission.CallFailureLimits;
import org.foxtailmoor.core.admission.EventLoopLag;
import org.foxtailmoor.core.routing.Decision;
import org.foxtailmoor.core.routing.EntryRequest;
import org.foxtailmoor.core.routing.RequestDecisions;
import org.foxtailmoor.core.routing.RoutingSnapshot;
import org.foxtailmoor.core.routing.SnapshotReference;
import org.foxtailmoor.core.routing.Upstream;
import org.foxtailmoor.node.trace.HopTracer;
import org.foxtailmoor.protocol.generated.RequestStart;

/** Accepts requests at their entry node and sends attempts over links or to the node's own home. */
final class EntryGateway {
    private static final int MAX_OPEN_REQUESTS = 8_192;

    /**
     * Minimum number of open requests for shedding load. With fewer, a delayed data loop indicates
     * a single pause and not overload.
     */
    private static final int MIN_REQUESTS_TO_SHED = 8;

    /** Dependencies of the gateway; no component may be null. */
    record Dependencies(
            EventLoop loop,
            Ticker ticker,
            ShutdownWindow shutdownWindow,
            SnapshotReference<RoutingSnapshot> snapshots,
            RequestDecisions decisions,
            Links links,
            Home home,
            HopTracer tracer,
            DataMetrics metrics,
            BooleanSupplier ready,
            EventLoopLag eventLoopLag,
            HeaderNames headers,
            Supplier<String> callerService,
            CallFailureLimits callLimits,
            DecisionLog log) {}

    private final Predicate<Upstream> mIsLocal;
    private final Dependencies mDependencies;
    private int mOpenRequests;

    /**
     * Creates a gateway.
     *
     * @param isLocal returns whether an upstream is this node's own
     * @param dependencies dependencies of the gateway
     */
    EntryGateway(Predicate<Upstream> isLocal, Dependencies dependencies) {
        mIsLocal = isLocal;
        mDependencies = dependencies;
    }

    /**
     * Accepts or refuses a request whose head has arrived.
     *
     * @param head request line and headers
     * @param bodyBytes declared length of the body, 0 if unknown
     * @param listener receives the outcome unless the request is cancelled
     * @return a call that must be run, refused or cancelled, or a refusal
     */
    Decision<EntryCall> begin(EntryHead head, long bodyBytes, OutcomeListener listener) {
        mDependencies.metrics().entryRequests().inc();
        if (!mDependencies.ready().getAsBoolean()) {
            return refuse(head, ErrorKind.NOT_READY);
        }
        if (isOverloaded()) {
            return refuse(head, ErrorKind.OVERLOADED);
        }
        SnapshotReference.Use<RoutingSnapshot> snapshotUse = mDependencies.snapshots().acquire();
        Decision<EntryRequest> decision =
                mDependencies
                        .decisions()
                        .begin(
                                snapshotUse.value(),
                                head.host(),
                                head.method(),
                                head.path(),
                                head.idempotencyKey(),
                                bodyBytes,
                                head.deadlineMilliseconds());
        if (decision.isRefused()) {
            snapshotUse.release();
            return refuse(head, decision.refusal());
        }
        mOpenRequests++;
        EntryCall call = new EntryCall(this, head, decision.value(), snapshotUse, listener);
        call.startDeadline();
        if (!mDependencies.shutdownWindow().allows(decision.value().deadlineNanoseconds())) {
            call.refuse(ErrorKind.LEAVING);
            return Decision.refused(ErrorKind.LEAVING);
        }
        return Decision.of(call);
    }

    int openRequests() {
        return mOpenRequests;
    }

    Dependencies dependencies() {
        return mDependencies;
    }

    void onEnded() {
        mOpenRequests--;
    }

    /** Sends one attempt to an upstream, over a link unless the upstream is this node's own. */
    Cancellable send(
            Upstream upstream,
            RequestStart start,
            BufferedBody body,
            long deadlineNanoseconds,
            AttemptListener listener) {
        if (mIsLocal.test(upstream)) {
            return mDependencies
                    .home()
                    .submit(new HomeCall(start, body, deadlineNanoseconds), listener);
        }
        return mDependencies.links().send(upstream, start, body, listener);
    }

    private boolean isOverloaded() {
        boolean loopBehind =
                mOpenRequests >= MIN_REQUESTS_TO_SHED
                        && mDependencies.eventLoopLag().exceedsLimit();
        return loopBehind || mOpenRequests >= MAX_OPEN_REQUESTS;
    }

    private Decision<EntryCall> refuse(EntryHead head, ErrorKind kind) {
        mDependencies
                .log()
                .refused(head, kind, mOpenRequests, mDependencies.eventLoopLag().nanoseconds());
        mDependencies.metrics().countEntryError(kind);
        return Decision.refused(kind);
    }
}
