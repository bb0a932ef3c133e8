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
 * Joins the decisions at a home in the right order: key memory, fingerprint, key conditions,
 * limits, queue, and at the moment of dispatch the fingerprint, lease and key conditions again,
 * because the process may have been paused while the request waited. Belongs to the data loop.
 */
public final class HomeRequests implements HomeDecisions {
    /** Repeats that may join one running request; further ones get OUTCOME_UNKNOWN. */
    public static final int JOIN_LIMIT = 16;

    private final Ticker mTicker;
    private final AdmissionPolicy mAdmission;
    private final FleetLimits mLimits;
    private final KeyLedger mLedger;
    private final HomeTerms mTerms;
    private final CrashGuard mGuard;
    private final Map<HomeRequest, HomeWork> mWorks = new IdentityHashMap<>();
    private final Map<IdempotencyKey, HomeWork> mByKey = new HashMap<>();
    private RoutingSnapshot mSnapshot;
    private String mServiceId;
    private ServiceView mService;
    private boolean mLeaving;

    private HomeRequests(
            Ticker ticker,
            AdmissionPolicy admission,
            FleetLimits limits,
            KeyLedger ledger,
            HomeTerms terms,
            CrashGuard guard) {
        mTicker = Objects.requireNonNull(ticker, "ticker");
        mAdmission = Objects.requireNonNull(admission, "admission");
        mLimits = Objects.requireNonNull(limits, "limits");
        mLedger = Objects.requireNonNull(ledger, "ledger");
        mTerms = Objects.requireNonNull(terms, "terms");
        mGuard = Objects.requireNonNull(guard, "guard");
    }

    /** Creates the decisions of one home; no argument may be null. */
    public static HomeRequests of(
            Ticker ticker,
            AdmissionPolicy admission,
            FleetLimits limits,
            KeyLedger ledger,
            HomeTerms terms,
            CrashGuard guard) {
        return new HomeRequests(ticker, admission, limits, ledger, terms, guard);
    }

    /** Takes the routing snapshot in force. Without the service, the home of no key is here. */
    @Override
    public void update(RoutingSnapshot snapshot, String serviceId) {
        mSnapshot = snapshot;
        mServiceId = serviceId;
        mService = snapshot.service(serviceId);
        List<String> members = mService == null ? List.of() : mService.homeMembers();
        mTerms.update(snapshot.instancesVersion(), members);
        if (mService != null && mService.definition().body().getSlots() > 0) {
            mAdmission.resize(mService.definition().body().getSlots());
        }
    }

    @Override
    public ErrorKind obstacle(RequestStart start) {
        if (mSnapshot == null) {
            return ErrorKind.NOT_READY;
        }
        if (!start.getServiceId().equals(mServiceId)) {
            // The entry's instance list has another instance at this address.
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
        return null;
    }

    @Override
    public void accept(HomeRequest request) {
        if (request.key() != null && answerFromMemory(request)) {
            return;
        }
        ErrorKind obstacle = obstacle(request);
        if (obstacle != null) {
            request.refuse(obstacle, 0);
            return;
        }
        int retryAfter = mLimits.tryAcquire(request.route(), sharers(request.route()));
        if (retryAfter != FleetLimits.ADMITTED) {
            request.refuse(ErrorKind.RATE_LIMITED, retryAfter);
            return;
        }
        HomeWork work = new HomeWork(this, request);
        if (request.key() != null) {
            if (!mLedger.begin(request.key(), request.fingerprint())) {
                mLimits.release(request.route(), false);
                request.refuse(ErrorKind.OVERLOADED, 0);
                return;
            }
            mByKey.put(request.key(), work);
        }
        mWorks.put(request, work);
        mAdmission.submit(work);
    }

    @Override
    public boolean confirmDispatch(HomeRequest request) {
        ErrorKind obstacle = dispatchObstacle(request);
        if (obstacle != null) {
            notSent(request, obstacle);
        }
        return obstacle == null;
    }

    @Override
    public void completed(HomeRequest request, StoredAnswer answer) {
        HomeWork work = take(request);
        if (work == null) {
            return;
        }
        if (request.key() != null) {
            mLedger.finish(request.key(), answer);
        }
        if (work.mAlone) {
            mGuard.completedAlone(request.fingerprint());
        }
        mLimits.release(request.route(), true);
        for (HomeRequest joined : work.mJoined) {
            joined.answer(answer);
        }
        mAdmission.complete(work);
    }

    /**
     * Refuses a dispatched request that ended without a whole answer. Its key is kept with an
     * unknown outcome. Non-idempotent work whose target failed answers OUTCOME_UNKNOWN.
     *
     * @throws IllegalArgumentException if the kind says "not run"
     */
    @Override
    public void failed(HomeRequest request, ErrorKind kind) {
        if (kind.isNotRun()) {
            throw new IllegalArgumentException(kind + " says not run of a dispatched request");
        }
        HomeWork work = take(request);
        if (work == null) {
            return;
        }
        if (request.key() != null) {
            mLedger.loseOutcome(request.key());
        }
        mLimits.release(request.route(), true);
        boolean unknown = kind == ErrorKind.UPSTREAM_FAILED && !request.route().isIdempotent();
        ErrorKind stated = unknown ? ErrorKind.OUTCOME_UNKNOWN : kind;
        request.refuse(stated, 0);
        for (HomeRequest joined : work.mJoined) {
            joined.refuse(stated, 0);
        }
        mAdmission.complete(work);
    }

    @Override
    public void notSent(HomeRequest request, ErrorKind kind) {
        HomeWork work = mWorks.get(request);
        if (work != null) {
            endNotRun(work, kind, 0);
            mAdmission.complete(work);
        }
    }

    @Override
    public void crashed(Collection<? extends HomeRequest> requests) {
        for (HomeRequest request : requests) {
            HomeWork work = mWorks.get(request);
            boolean onlySuspect = requests.size() == 1 || work != null && work.mAlone;
            mGuard.crashed(request.fingerprint(), onlySuspect);
        }
        for (HomeRequest request : requests) {
            failed(request, ErrorKind.UPSTREAM_FAILED);
        }
    }

    @Override
    public Cancellation cancel(HomeRequest request) {
        HomeWork work = mWorks.get(request);
        if (work == null) {
            mByKey.values().forEach(running -> running.mJoined.remove(request));
            return Cancellation.ENDED;
        }
        if (work.mDispatched) {
            return request.key() == null
                    ? Cancellation.CANCEL_AT_TARGET
                    : Cancellation.KEEP_RUNNING;
        }
        mAdmission.cancel(work);
        forget(work);
        work.mJoined.forEach(this::accept);
        return Cancellation.NOT_RUN;
    }

    /** Refuses new work as LEAVING from now on; repeats of known keys are still answered. */
    @Override
    public void leave() {
        mLeaving = true;
        mAdmission.leave();
    }

    @Override
    public boolean isIdle() {
        return mWorks.isEmpty();
    }

    /** Runs the systems over the queues, keys, terms, fingerprints and joined requests. */
    @Override
    public void tick() {
        mTerms.tick();
        mAdmission.tick();
        mLedger.tick();
        mGuard.tick();
        long now = mTicker.nanoTime();
        for (HomeWork work : new ArrayList<>(mByKey.values())) {
            expireJoined(work, now);
        }
    }

    CrashGuard.Verdict verdict(HomeRequest request) {
        int limit = mService == null ? 1 : mService.definition().body().getCrashLimit();
        return mGuard.verdict(request.fingerprint(), limit);
    }

    /** Dispatches work that got a slot, if the conditions still hold. */
    boolean start(HomeWork work) {
        ErrorKind obstacle = dispatchObstacle(work.mRequest);
        if (obstacle != null) {
            endNotRun(work, obstacle, 0);
            return false;
        }
        work.mDispatched = true;
        work.mAlone = work.requiresIsolation();
        work.mRequest.dispatch();
        return true;
    }

    /** Refuses work of which no byte was sent; its key is forgotten. */
    void endNotRun(HomeWork work, ErrorKind kind, int retryAfterMilliseconds) {
        forget(work);
        work.mRequest.refuse(kind, retryAfterMilliseconds);
        boolean ownFault = kind == ErrorKind.DEADLINE_BEFORE_RUN;
        for (HomeRequest joined : work.mJoined) {
            if (ownFault) {
                accept(joined);
            } else {
                joined.refuse(kind, retryAfterMilliseconds);
            }
        }
    }

    /**
     * Returns the number of homes that share the limit of a route. Requests of a route that
     * requires keys reach only the home region, so that a split over all regions would admit less
     * than the limit.
     */
    private int sharers(Route route) {
        if (mService == null) {
            return 1;
        }
        boolean keyed = route.entry().getRequireKey();
        return keyed ? mService.homeMembers().size() : mService.liveCount();
    }

    private ErrorKind obstacle(HomeRequest request) {
        if (mLeaving) {
            return ErrorKind.LEAVING;
        }
        return dispatchObstacle(request);
    }

    private ErrorKind dispatchObstacle(HomeRequest request) {
        if (verdict(request) == CrashGuard.Verdict.POISONED) {
            return ErrorKind.POISONED;
        }
        return request.key() == null ? null : mTerms.obstacle(request.key());
    }

    private boolean answerFromMemory(HomeRequest request) {
        switch (mLedger.outcome(request.key(), request.fingerprint())) {
            case NEW:
                return false;
            case RUNNING:
                join(request);
                return true;
            case DONE:
                request.answer(mLedger.answer(request.key()));
                return true;
            case DONE_WITHOUT_ANSWER:
                request.refuse(ErrorKind.ALREADY_RUN, 0);
                return true;
            case OTHER_REQUEST:
                request.refuse(ErrorKind.KEY_INVALID, 0);
                return true;
            default:
                request.refuse(ErrorKind.OUTCOME_UNKNOWN, 0);
                return true;
        }
    }

    private void join(HomeRequest request) {
        HomeWork work = mByKey.get(request.key());
        if (work == null || work.mJoined.size() >= JOIN_LIMIT) {
            request.refuse(ErrorKind.OUTCOME_UNKNOWN, 0);
            return;
        }
        work.mJoined.add(request);
    }

    /** Ends joined requests by their deadline; the request that they joined may still run. */
    private static void expireJoined(HomeWork work, long nowNanoseconds) {
        Iterator<HomeRequest> joined = work.mJoined.iterator();
        while (joined.hasNext()) {
            HomeRequest request = joined.next();
            if (request.deadlineNanoseconds() - nowNanoseconds <= 0) {
                joined.remove();
                request.refuse(ErrorKind.DEADLINE_EXCEEDED, 0);
            }
        }
    }

    private HomeWork take(HomeRequest request) {
        HomeWork work = mWorks.remove(request);
        if (work != null && request.key() != null) {
            mByKey.remove(request.key(), work);
        }
        return work;
    }

    private void forget(HomeWork work) {
        take(work.mRequest);
        mLimits.release(work.mRequest.route(), false);
        if (work.mRequest.key() != null) {
            mLedger.forget(work.mRequest.key());
        }
    }
}
