package org.foxtailmoor.core.home;

import io.netty.util.concurrent.Ticker;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.core.admission.AdmissionPolicy;
import org.foxtailmoor.core.admission.FleetLimits;
import org.foxtailmoor.core.routing.IdempotencyKey;
import org.foxtailmoor.core.routing.Route;
import org.foxtailmoor.core.routing.RoutingSnapshot;
import org.foxtailmoor.core.routing.ServiceView;
import org.foxtailmoor.protocol.generated.RequestStart;

/**
 * Decisions for requests with and without idempotency keys. Checks in this order: stored key, crash
 * status, conditions of the key, limits, queue; and at dispatch again the crash status, view lease
 * and conditions of the key, because the process may have been paused while the request was queued.
 * Not thread-safe; used only on the data loop.
 */
public final class HomeRequests implements HomeDecisions {
    /** Maximum number of repeats that join one request; further ones get OUTCOME_UNKNOWN. */
    public static final int JOIN_LIMIT = 16;

    private final Ticker mTicker;
    private final AdmissionPolicy mAdmission;
    private final FleetLimits mLimits;
    private final IdempotencyKeyStore mKeys;
    private final HomeTerms mTerms;
    private final CrashGuard mGuard;
    private final Map<HomeRequest, PendingRequest> mPending = new IdentityHashMap<>();
    private final Map<IdempotencyKey, PendingRequest> mPendingByKey = new HashMap<>();
    private RoutingSnapshot mSnapshot;
    private String mServiceId;
    private ServiceView mService;
    private boolean mTargetListed;
    private boolean mTargetRemoved;
    private boolean mLeaving;

    private HomeRequests(
            Ticker ticker,
            AdmissionPolicy admission,
            FleetLimits limits,
            IdempotencyKeyStore keys,
            HomeTerms terms,
            CrashGuard guard) {
        mTicker = Objects.requireNonNull(ticker, "ticker");
        mAdmission = Objects.requireNonNull(admission, "admission");
        mLimits = Objects.requireNonNull(limits, "limits");
        mKeys = Objects.requireNonNull(keys, "keys");
        mTerms = Objects.requireNonNull(terms, "terms");
        mGuard = Objects.requireNonNull(guard, "guard");
    }

    /**
     * Creates the decisions of one home.
     *
     * @param ticker clock, not null
     * @param admission slots and queues of the target, not null
     * @param limits fleet-wide limits, not null
     * @param keys outcomes of idempotency keys, not null
     * @param terms ownership of idempotency keys, not null
     * @param guard crash counts of the service, not null
     */
    public static HomeRequests of(
            Ticker ticker,
            AdmissionPolicy admission,
            FleetLimits limits,
            IdempotencyKeyStore keys,
            HomeTerms terms,
            CrashGuard guard) {
        return new HomeRequests(ticker, admission, limits, keys, terms, guard);
    }

    /**
     * Applies a new routing snapshot. If it lacks the service, this node is the home of no key. If
     * the service no longer has this instance, queued requests are refused.
     */
    @Override
    public void update(RoutingSnapshot snapshot, String serviceId) {
        mSnapshot = snapshot;
        mServiceId = serviceId;
        mService = snapshot.service(serviceId);
        List<String> members = mService == null ? List.of() : mService.homeMembers();
        mTerms.update(snapshot.instancesVersion(), members);
        mLimits.retain(snapshot);
        if (mService != null && mService.definition().body().getSlots() > 0) {
            mAdmission.resize(mService.definition().body().getSlots());
        }
        if (mService != null) {
            boolean wasListed = mTargetListed;
            mTargetListed = mService.upstream(mTerms.instanceId()) != null;
            mTargetRemoved = !mTargetListed && (wasListed || mTargetRemoved);
        }
        if (mTargetRemoved) {
            refuseQueued();
        }
    }

    @Override
    public ErrorKind refusalReason(RequestStart start) {
        if (mSnapshot == null) {
            return ErrorKind.NOT_READY;
        }
        if (!start.getServiceId().equals(mServiceId)) {
            // The entry node's instance list has another instance at this address.
            return ErrorKind.NO_UPSTREAM;
        }
        if (mSnapshot.routeById(start.getRouteId()) == null) {
            long number = mSnapshot.catalogueVersion().getNumber();
            boolean entryIsAhead = Long.compareUnsigned(start.getCatalogueNumber(), number) > 0;
            return entryIsAhead ? ErrorKind.NOT_READY : ErrorKind.NO_ROUTE;
        }
        boolean keyed = !start.getIdempotencyKey().isEmpty();
        if (keyed && IdempotencyKey.parse(start.getIdempotencyKey()) == null) {
            return ErrorKind.KEY_INVALID;
        }
        // The outcome of a known idempotency key is available without the target.
        return mTargetRemoved && !keyed ? ErrorKind.LEAVING : null;
    }

    @Override
    public void accept(HomeRequest request) {
        if (request.key() != null && answerKnownKey(request)) {
            return;
        }
        ErrorKind reason = acceptRefusalReason(request);
        if (reason != null) {
            request.refuse(reason, 0);
            return;
        }
        int retryAfter = mLimits.tryAcquire(request.route(), limitShareCount(request.route()));
        if (retryAfter != FleetLimits.ADMITTED) {
            request.refuse(ErrorKind.RATE_LIMITED, retryAfter);
            return;
        }
        PendingRequest pending = new PendingRequest(this, request);
        if (request.key() != null) {
            if (!mKeys.begin(request.key(), request.fingerprint())) {
                mLimits.release(request.route(), false);
                request.refuse(ErrorKind.OVERLOADED, 0);
                return;
            }
            mPendingByKey.put(request.key(), pending);
        }
        mPending.put(request, pending);
        mAdmission.submit(pending);
    }

    @Override
    public boolean confirmDispatch(HomeRequest request) {
        ErrorKind reason = dispatchRefusalReason(request);
        if (reason != null) {
            notRun(request, reason);
        }
        return reason == null;
    }

    @Override
    public void completed(HomeRequest request, StoredAnswer answer) {
        PendingRequest pending = removePending(request);
        if (pending == null) {
            return;
        }
        if (request.key() != null) {
            mKeys.finish(request.key(), answer);
        }
        if (!answer.isServerError()) {
            recordAnswered(pending);
        }
        mLimits.release(request.route(), true);
        for (HomeRequest joined : pending.mJoined) {
            joined.answer(answer);
        }
        mAdmission.complete(pending);
    }

    /**
     * Refuses a dispatched request that ended without a complete answer. Its key is kept with an
     * unknown outcome. A non-idempotent request whose target failed is refused as OUTCOME_UNKNOWN.
     *
     * @throws IllegalArgumentException if the kind reports "not run"
     */
    @Override
    public void failed(HomeRequest request, ErrorKind kind) {
        if (kind.isNotRun()) {
            throw new IllegalArgumentException(
                    "dispatched request cannot be refused as not run: " + kind);
        }
        PendingRequest pending = removePending(request);
        if (pending == null) {
            return;
        }
        if (request.key() != null) {
            mKeys.markUnknown(request.key());
        }
        mLimits.release(request.route(), true);
        boolean unknown = kind == ErrorKind.UPSTREAM_FAILED && !request.route().isIdempotent();
        ErrorKind reported = unknown ? ErrorKind.OUTCOME_UNKNOWN : kind;
        request.refuse(reported, 0);
        for (HomeRequest joined : pending.mJoined) {
            joined.refuse(reported, 0);
        }
        mAdmission.complete(pending);
    }

    @Override
    public void notRun(HomeRequest request, ErrorKind kind) {
        PendingRequest pending = mPending.get(request);
        if (pending != null) {
            endNotRun(pending, kind, 0);
            mAdmission.complete(pending);
        }
    }

    @Override
    public void crashed(Collection<? extends HomeRequest> requests) {
        for (HomeRequest request : requests) {
            PendingRequest pending = mPending.get(request);
            boolean onlySuspect = requests.size() == 1 || pending != null && pending.mIsolated;
            mGuard.crashed(request.fingerprint(), onlySuspect);
            mGuard.crashed(request.crashFingerprint(), onlySuspect);
        }
        for (HomeRequest request : requests) {
            failed(request, ErrorKind.UPSTREAM_FAILED);
        }
    }

    @Override
    public Cancellation cancel(HomeRequest request) {
        PendingRequest pending = mPending.get(request);
        if (pending == null) {
            mPendingByKey.values().forEach(running -> running.mJoined.remove(request));
            return Cancellation.ENDED;
        }
        if (pending.mDispatched) {
            return request.key() == null
                    ? Cancellation.CANCEL_AT_TARGET
                    : Cancellation.KEEP_RUNNING;
        }
        mAdmission.cancel(pending);
        releaseNotRun(pending);
        pending.mJoined.forEach(this::accept);
        return Cancellation.NOT_RUN;
    }

    /** Refuses new requests as LEAVING from now on. Repeats of known keys are still answered. */
    @Override
    public void leave() {
        mLeaving = true;
        mAdmission.leave();
    }

    /** A target that is marked as leaving makes the whole node leave, which {@link #leave} does. */
    @Override
    public boolean isTargetLeaving() {
        return mTargetRemoved;
    }

    @Override
    public boolean isIdle() {
        return mPending.isEmpty();
    }

    /**
     * Expires queued requests, keys, crash records and joined requests; observes the view lease.
     */
    @Override
    public void tick() {
        mTerms.tick();
        mAdmission.tick();
        mKeys.tick();
        mGuard.tick();
        long now = mTicker.nanoTime();
        for (PendingRequest pending : new ArrayList<>(mPendingByKey.values())) {
            expireJoined(pending, now);
        }
    }

    CrashGuard.Status crashStatus(HomeRequest request) {
        int limit = mService == null ? 1 : mService.definition().body().getCrashLimit();
        return mGuard.status(request.fingerprint(), request.crashFingerprint(), limit);
    }

    /** Dispatches a request that got a slot, if the conditions of dispatch still hold. */
    boolean start(PendingRequest pending) {
        ErrorKind reason = dispatchRefusalReason(pending.mRequest);
        if (reason != null) {
            endNotRun(pending, reason, 0);
            return false;
        }
        pending.mDispatched = true;
        pending.mIsolated = pending.requiresIsolation();
        pending.mRequest.dispatch();
        return true;
    }

    /** Refuses a request that has not run and discards its key. */
    void endNotRun(PendingRequest pending, ErrorKind kind, int retryAfterMilliseconds) {
        releaseNotRun(pending);
        pending.mRequest.refuse(kind, retryAfterMilliseconds);
        boolean ownDeadline = kind == ErrorKind.DEADLINE_BEFORE_RUN;
        for (HomeRequest joined : pending.mJoined) {
            if (ownDeadline) {
                accept(joined);
            } else {
                joined.refuse(kind, retryAfterMilliseconds);
            }
        }
    }

    private void refuseQueued() {
        for (PendingRequest pending : List.copyOf(mPending.values())) {
            // Cancelling one request can start the next one, which is then refused at dispatch.
            if (!pending.mDispatched && mPending.get(pending.mRequest) == pending) {
                mAdmission.cancel(pending);
                endNotRun(pending, ErrorKind.LEAVING, 0);
            }
        }
    }

    private void recordAnswered(PendingRequest pending) {
        HomeRequest request = pending.mRequest;
        mGuard.answered(request.fingerprint());
        if (pending.mIsolated) {
            mGuard.completedInIsolation(request.fingerprint());
            mGuard.completedInIsolation(request.crashFingerprint());
        }
    }

    /**
     * Returns the number of nodes among which the limit of a route is divided. Requests of a route
     * that requires keys only reach the home region, so dividing the limit over all regions would
     * admit less than the limit.
     */
    private int limitShareCount(Route route) {
        if (mService == null) {
            return 1;
        }
        boolean keyed = route.entry().getRequireKey();
        return keyed ? mService.homeMembers().size() : mService.liveCount();
    }

    private ErrorKind acceptRefusalReason(HomeRequest request) {
        if (mLeaving) {
            return ErrorKind.LEAVING;
        }
        return dispatchRefusalReason(request);
    }

    private ErrorKind dispatchRefusalReason(HomeRequest request) {
        if (mTargetRemoved) {
            return ErrorKind.LEAVING;
        }
        if (crashStatus(request) == CrashGuard.Status.POISONED) {
            return ErrorKind.POISONED;
        }
        return request.key() == null ? null : mTerms.refusalReason(request.key());
    }

    private boolean answerKnownKey(HomeRequest request) {
        switch (mKeys.outcome(request.key(), request.fingerprint())) {
            case NEW:
                return false;
            case RUNNING:
                join(request);
                return true;
            case DONE:
                request.answer(mKeys.answer(request.key()));
                return true;
            case DONE_WITHOUT_ANSWER:
                request.refuse(ErrorKind.ALREADY_RUN, 0);
                return true;
            case DIFFERENT_REQUEST:
                request.refuse(ErrorKind.KEY_INVALID, 0);
                return true;
            default:
                request.refuse(ErrorKind.OUTCOME_UNKNOWN, 0);
                return true;
        }
    }

    private void join(HomeRequest request) {
        PendingRequest pending = mPendingByKey.get(request.key());
        if (pending == null || pending.mJoined.size() >= JOIN_LIMIT) {
            request.refuse(ErrorKind.OUTCOME_UNKNOWN, 0);
            return;
        }
        pending.mJoined.add(request);
    }

    /** Refuses joined requests past their deadline. The request that they joined may still run. */
    private static void expireJoined(PendingRequest pending, long nowNanoseconds) {
        Iterator<HomeRequest> joined = pending.mJoined.iterator();
        while (joined.hasNext()) {
            HomeRequest request = joined.next();
            if (request.deadlineNanoseconds() - nowNanoseconds <= 0) {
                joined.remove();
                request.refuse(ErrorKind.DEADLINE_EXCEEDED, 0);
            }
        }
    }

    private PendingRequest removePending(HomeRequest request) {
        PendingRequest pending = mPending.remove(request);
        if (pending != null && request.key() != null) {
            mPendingByKey.remove(request.key(), pending);
        }
        return pending;
    }

    private void releaseNotRun(PendingRequest pending) {
        removePending(pending.mRequest);
        mLimits.release(pending.mRequest.route(), false);
        if (pending.mRequest.key() != null) {
            mKeys.discard(pending.mRequest.key());
        }
    }
}
