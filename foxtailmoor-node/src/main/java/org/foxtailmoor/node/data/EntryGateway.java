package org.foxtailmoor.node.data;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Ticker;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.core.admission.EventLoopLag;
import org.foxtailmoor.core.routing.Decision;
import org.foxtailmoor.core.routing.EntryRequest;
import org.foxtailmoor.core.routing.RequestDecisions;
import org.foxtailmoor.core.routing.RoutingSnapshot;
import org.foxtailmoor.core.routing.SnapshotReference;
import org.foxtailmoor.core.routing.Upstream;
import org.foxtailmoor.node.trace.HopTracer;
import org.foxtailmoor.protocol.generated.RequestStart;

/** Connects the decisions about requests at their entry with the links and the own home. */
final class EntryGateway {
    private static final int MAXIMUM_REQUESTS = 8_192;

    /** With fewer open requests, a loop that is behind had one pause and has no load to shed. */
    private static final int LEAST_OPEN_REQUESTS = 8;

    /** Parts that an entry is built from; no component may be null. */
    record Parts(
            EventLoop loop,
            Ticker ticker,
            SnapshotReference<RoutingSnapshot> snapshots,
            RequestDecisions decisions,
            Links links,
            Home home,
            HopTracer tracer,
            DataMetrics metrics,
            BooleanSupplier ready,
            EventLoopLag backlog,
            HeaderNames headers,
            Supplier<String> callerService,
            DecisionLog log) {}

    private final Predicate<Upstream> mLocal;
    private final Parts mParts;
    private int mOpenRequests;

    /**
     * Creates a gateway.
     *
     * @param local whether an upstream is the node's own
     * @param parts parts of the node
     */
    EntryGateway(Predicate<Upstream> local, Parts parts) {
        mLocal = local;
        mParts = parts;
    }

    /**
     * Begins a request when its head has arrived.
     *
     * @param head request line and headers
     * @param bodyBytes announced length of the body, 0 if it is not known
     * @param listener is told the outcome unless the request is cancelled
     * @return the request, which the caller must run or cancel, or a refusal
     */
    Decision<EntryCall> begin(EntryHead head, long bodyBytes, OutcomeListener listener) {
        mParts.metrics().entryRequests().inc();
        if (!mParts.ready().getAsBoolean()) {
            return refuse(head, ErrorKind.NOT_READY);
        }
        if (isFull()) {
            return refuse(head, ErrorKind.OVERLOADED);
        }
        SnapshotReference.Use<RoutingSnapshot> use = mParts.snapshots().acquire();
        Decision<EntryRequest> begun =
                mParts.decisions()
                        .begin(
                                use.value(),
                                head.host(),
                                head.method(),
                                head.path(),
                                head.idempotencyKey(),
                                bodyBytes,
                                head.deadlineMilliseconds());
        if (begun.isRefused()) {
            use.release();
            return refuse(head, begun.refusal());
        }
        mOpenRequests++;
        EntryCall call = new EntryCall(this, head, begun.value(), use, listener);
        call.startDeadline();
        return Decision.of(call);
    }

    /** Returns the number of requests that have begun and not ended. */
    int openRequests() {
        return mOpenRequests;
    }

    Parts parts() {
        return mParts;
    }

    void onEnded() {
        mOpenRequests--;
    }

    /** Sends one attempt to an upstream, which may be this node's own. */
    Cancellable send(
            Upstream upstream,
            RequestStart start,
            HeldBody body,
            long deadlineNanoseconds,
            AttemptListener listener) {
        if (mLocal.test(upstream)) {
            return mParts.home().submit(new HomeCall(start, body, deadlineNanoseconds), listener);
        }
        return mParts.links().send(upstream, start, body, listener);
    }

    private boolean isFull() {
        boolean behind = mOpenRequests >= LEAST_OPEN_REQUESTS && mParts.backlog().exceedsLimit();
        return behind || mOpenRequests >= MAXIMUM_REQUESTS;
    }

    private Decision<EntryCall> refuse(EntryHead head, ErrorKind kind) {
        mParts.log().refused(head, kind, mOpenRequests, mParts.backlog().nanoseconds());
        mParts.metrics().countEntryError(kind);
        return Decision.refused(kind);
    }
}
