package org.foxtailmoor.core.home;

import io.netty.util.concurrent.Ticker;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.core.admission.AdmissionClass;
import org.foxtailmoor.core.admission.AdmissionRequest;
import org.foxtailmoor.core.admission.DeadlineAdmission;
import org.foxtailmoor.core.admission.TargetLoad;
import org.foxtailmoor.core.routing.PlaceConstraints;
import org.foxtailmoor.core.routing.Route;
import org.foxtailmoor.core.routing.RoutingSnapshot;
import org.foxtailmoor.core.routing.ServiceView;
import org.foxtailmoor.core.routing.Upstream;
import org.foxtailmoor.protocol.generated.RequestStart;

/**
 * Decisions for requests without idempotency keys: each one is queued for a slot of the target and
 * runs at most once on this node. Not thread-safe; used only on the data loop.
 *
 * <p>At most one request that is suspected of crashing targets runs at a time, beside requests that
 * are not suspected. If the target crashes again, the crash is attributed to the suspect alone, and
 * if the suspect is answered, it is cleared. Running suspects without other requests would idle the
 * slots of the target for each request that was in flight at a crash.
 */
public final class SlotRequests implements HomeDecisions {
    /** Maximum number of suspects that wait until another one has ended. */
    static final int HELD_SUSPECT_LIMIT = 4;

    private final Ticker mTicker;
    private final DeadlineAdmission mAdmission;
    private final CrashTable mCrashes;
    private final TargetHealth mHealth;
    private final String mAddress;
    private final int mNodePort;
    private final Map<HomeRequest, SlotRequest> mPending = new IdentityHashMap<>();
    private final ArrayDeque<SlotRequest> mHeldSuspects = new ArrayDeque<>();
    private String mServiceId = "";
    private Upstream mOwnUpstream;
    private RoutingSnapshot mSnapshot;
    private boolean mTargetRemoved;
    private boolean mLeaving;

    private SlotRequests(
            Ticker ticker,
            DeadlineAdmission admission,
            CrashTable crashes,
            TargetHealth health,
            String address,
            int nodePort) {
        mTicker = Objects.requireNonNull(ticker, "ticker");
        mCrashes = Objects.requireNonNull(crashes, "crashes");
        mAdmission = Objects.requireNonNull(admission, "admission");
        mHealth = health;
        mAddress = Objects.requireNonNull(address, "address");
        mNodePort = nodePort;
    }

    /**
     * Creates the decisions of one home.
     *
     * @param ticker clock, not null
     * @param admission manages the slots of the target, not null
     * @param crashes crash counts of the service, not null
     * @param address IP address of this node in the instance list, not null
     * @param nodePort port of this node in the instance list
     */
    public static SlotRequests of(
            Ticker ticker,
            DeadlineAdmission admission,
            CrashTable crashes,
            String address,
            int nodePort) {
        return of(ticker, admission, crashes, null, address, nodePort);
    }

    /**
     * Creates the decisions of one home.
     *
     * @param ticker clock, not null
     * @param admission manages the slots of the target, not null
     * @param crashes crash counts of the service, not null
     * @param health state of the target, null if starts at cold targets are not limited
     * @param address IP address of this node in the instance list, not null
     * @param nodePort port of this node in the instance list
     */
    public static SlotRequests of(
            Ticker ticker,
            DeadlineAdmission admission,
            CrashTable crashes,
            TargetHealth health,
            String address,
            int nodePort) {
        return new SlotRequests(ticker, admission, crashes, health, address, nodePort);
    }

    /**
     * Applies the number of slots of the target. If the instance list says that the target is
     * leaving, no longer has it or has another one at this node, requests that wait for it are
     * refused, so that the entry nodes place them elsewhere immediately.
     *
     * <p>Entries that expire while the store is unavailable stay in the list until their targets
     * have had time to write them again.
     */
    @Override
    public void update(RoutingSnapshot snapshot, String serviceId) {
        boolean wasListed = mOwnUpstream != null;
        mSnapshot = snapshot;
        mServiceId = serviceId;
        mOwnUpstream = snapshot.upstreamAt(mAddress, mNodePort);
        mAdmission.setServiceId(mOwnUpstream == null ? serviceId : mOwnUpstream.serviceId());
        mTargetRemoved = mOwnUpstream == null && (wasListed || mTargetRemoved);
        if (mOwnUpstream != null && mOwnUpstream.slots() > 0) {
            mAdmission.resize(mOwnUpstream.slots());
        }
        updateHealth();
        if (isTargetLeaving() || isEvacuated()) {
            mAdmission.refuseQueued(ErrorKind.LEAVING);
            refuseHeld();
        } else {
            refuseWaitingForOtherTargets();
        }
    }

    /**
     * Refuses a request that is addressed to a different target than the one that the instance list
     * has at this node, and any request while the target or this node is leaving. Until the list
     * has had a target at this node, the target itself has to check the instance id.
     */
    @Override
    public ErrorKind refusalReason(RequestStart start) {
        String service = mOwnUpstream == null ? mServiceId : mOwnUpstream.serviceId();
        if (!start.getServiceId().equals(service) || isOtherTarget(start.getInstanceId())) {
            return ErrorKind.NO_UPSTREAM;
        }
        if (isInForbiddenRegion(start.getRouteId())) {
            return ErrorKind.NO_UPSTREAM;
        }
        return mLeaving || isTargetLeaving() || isEvacuated() ? ErrorKind.LEAVING : null;
    }

    @Override
    public void accept(HomeRequest request) {
        SlotRequest pending = new SlotRequest(request);
        mPending.put(request, pending);
        submit(pending);
    }

    @Override
    public boolean confirmDispatch(HomeRequest request) {
        if (isPoisoned(request)) {
            notRun(request, ErrorKind.QUARANTINED);
        } else if (isTargetLeaving() || isEvacuated() || isOtherTarget(request.instanceId())) {
            notRun(request, ErrorKind.LEAVING);
        }
        return mPending.containsKey(request);
    }

    @Override
    public void completed(HomeRequest request, StoredAnswer answer) {
        boolean failed = answer.isServerError();
        if (mPending.containsKey(request) && !failed) {
            mCrashes.answered(request.crashFingerprint());
        }
        end(request, failed);
    }

    @Override
    public void failed(HomeRequest request, ErrorKind kind) {
        boolean known = mPending.containsKey(request);
        // A cancellation or a passed deadline says nothing about the health of the target.
        boolean targetFailed = kind == ErrorKind.UPSTREAM_FAILED;
        if (known) {
            request.refuse(kind, 0);
            end(request, targetFailed);
        }
    }

    @Override
    public void notRun(HomeRequest request, ErrorKind kind) {
        if (mPending.containsKey(request)) {
            request.refuse(kind, 0);
            if (kind == ErrorKind.NO_UPSTREAM) {
                mAdmission.release(mPending.remove(request));
                submitHeld();
            } else if (kind == ErrorKind.UPSTREAM_REJECTED) {
                mAdmission.recordOutcome(true);
                mAdmission.reject(mPending.remove(request));
                submitHeld();
            } else {
                end(request, false);
            }
        }
    }

    @Override
    public void crashed(Collection<? extends HomeRequest> requests) {
        List<HomeRequest> all = new ArrayList<>(requests);
        // Counted before the requests end, so that their repeats are suspected elsewhere.
        mCrashes.crashed(all.stream().map(HomeRequest::crashFingerprint).toList());
        all.forEach(request -> failed(request, ErrorKind.UPSTREAM_FAILED));
    }

    @Override
    public void onTargetLoad(TargetLoad load) {
        mAdmission.onTargetLoad(load);
    }

    @Override
    public TargetHealth targetHealth() {
        return mHealth;
    }

    @Override
    public Cancellation cancel(HomeRequest request) {
        SlotRequest pending = mPending.get(request);
        if (pending == null) {
            return Cancellation.ENDED;
        }
        if (pending.mDispatched) {
            return Cancellation.CANCEL_AT_TARGET;
        }
        mAdmission.cancel(pending);
        mHeldSuspects.remove(pending);
        mPending.remove(request);
        return Cancellation.NOT_RUN;
    }

    @Override
    public void leave() {
        mLeaving = true;
    }

    @Override
    public boolean isTargetLeaving() {
        return mTargetRemoved || mOwnUpstream != null && mOwnUpstream.leaving();
    }

    @Override
    public boolean isIdle() {
        return mPending.isEmpty();
    }

    @Override
    public void tick() {
        mAdmission.tick();
        abortPoisoned();
        long now = mTicker.nanoTime();
        for (SlotRequest held : List.copyOf(mHeldSuspects)) {
            if (held.deadlineNanoseconds() - now <= 0) {
                mHeldSuspects.remove(held);
                held.refuse(ErrorKind.DEADLINE_BEFORE_RUN, 0);
            }
        }
        submitHeld();
    }

    private boolean isPoisoned(HomeRequest request) {
        return mCrashes.status(request.crashFingerprint()) == CrashGuard.Status.POISONED;
    }

    private boolean isSuspect(HomeRequest request) {
        return mCrashes.status(request.crashFingerprint()) == CrashGuard.Status.SUSPECT;
    }

    private boolean isSuspectRunning() {
        return mPending.values().stream()
                .anyMatch(pending -> pending.mDispatched && isSuspect(pending.mRequest));
    }

    private void submit(SlotRequest pending) {
        if (mayStart(pending)) {
            mAdmission.submit(pending);
        }
    }

    /** Returns whether a request may run now; if not, refuses or holds it. */
    private boolean mayStart(SlotRequest pending) {
        if (isPoisoned(pending.mRequest)) {
            long remaining = mCrashes.remainingNanoseconds(pending.mRequest.crashFingerprint());
            pending.refuse(ErrorKind.QUARANTINED, (int) TimeUnit.NANOSECONDS.toMillis(remaining));
            return false;
        }
        if (!isSuspect(pending.mRequest) || !isSuspectRunning()) {
            return true;
        }
        if (mHeldSuspects.size() >= HELD_SUSPECT_LIMIT) {
            pending.refuse(ErrorKind.OVERLOADED, 0);
        } else {
            mHeldSuspects.add(pending);
        }
        return false;
    }

    /** Aborts requests that became poisoned while they run, before they crash the target. */
    private void abortPoisoned() {
        for (SlotRequest pending : List.copyOf(mPending.values())) {
            if (pending.mDispatched && isPoisoned(pending.mRequest)) {
                pending.mRequest.abort();
                failed(pending.mRequest, ErrorKind.UPSTREAM_FAILED);
            }
        }
    }

    /** Submits held requests until a suspect runs again. */
    private void submitHeld() {
        int count = mHeldSuspects.size();
        for (int i = 0; i < count && !mHeldSuspects.isEmpty() && !isSuspectRunning(); i++) {
            submit(mHeldSuspects.remove());
        }
    }

    private void refuseHeld() {
        List<SlotRequest> held = List.copyOf(mHeldSuspects);
        mHeldSuspects.clear();
        held.forEach(pending -> pending.refuse(ErrorKind.LEAVING, 0));
    }

    private void refuseWaitingForOtherTargets() {
        for (SlotRequest pending : List.copyOf(mPending.values())) {
            boolean waits = !pending.mDispatched && mPending.containsKey(pending.mRequest);
            if (waits && isOtherTarget(pending.mRequest.instanceId())) {
                mAdmission.cancel(pending);
                mHeldSuspects.remove(pending);
                pending.refuse(ErrorKind.LEAVING, 0);
            }
        }
    }

    private void updateHealth() {
        if (mHealth == null) {
            return;
        }
        ServiceView service =
                mSnapshot.service(mOwnUpstream == null ? mServiceId : mOwnUpstream.serviceId());
        mHealth.update(mOwnUpstream, service == null ? null : service.definition().body());
    }

    /** Returns whether the operators have evacuated the availability zone of the target. */
    private boolean isEvacuated() {
        return mOwnUpstream != null && mSnapshot.evacuatedZones().contains(mOwnUpstream.zone());
    }

    /**
     * Returns whether the target is outside the regions in which a route may run. The entry node
     * may have chosen the target by an older version of the route.
     */
    private boolean isInForbiddenRegion(String routeId) {
        Route route = mOwnUpstream == null ? null : mSnapshot.routeById(routeId);
        return route != null
                && !PlaceConstraints.of(route, mSnapshot).permitsRegion(mOwnUpstream.region());
    }

    /** Returns whether an id is known not to be that of the target at this node. */
    private boolean isOtherTarget(String instanceId) {
        return mOwnUpstream != null
                && !instanceId.isEmpty()
                && !instanceId.equals(mOwnUpstream.id());
    }

    private void end(HomeRequest request, boolean targetFailed) {
        SlotRequest pending = mPending.remove(request);
        if (pending != null) {
            mAdmission.recordOutcome(targetFailed);
            mAdmission.complete(pending, targetFailed);
            submitHeld();
        }
    }

    /** A request that is queued for a slot or holds one. */
    private final class SlotRequest implements AdmissionRequest {
        private final HomeRequest mRequest;
        private final AdmissionClass mClass;
        private boolean mDispatched;

        SlotRequest(HomeRequest request) {
            mRequest = request;
            mClass = new AdmissionClass(request.kind(), 1, 0);
        }

        @Override
        public AdmissionClass admissionClass() {
            return mClass;
        }

        @Override
        public long deadlineNanoseconds() {
            return mRequest.deadlineNanoseconds();
        }

        @Override
        public int priority() {
            return mRequest.priority();
        }

        @Override
        public long objectiveNanoseconds() {
            return mRequest.objectiveNanoseconds();
        }

        @Override
        public int bodyBytes() {
            return mRequest.bodyBytes();
        }

        @Override
        public String callerService() {
            return mRequest.callerService();
        }

        @Override
        public boolean requiresIsolation() {
            return false;
        }

        @Override
        public boolean start() {
            if (!mayStart(this)) {
                return false;
            }
            mDispatched = true;
            mRequest.dispatch();
            return true;
        }

        @Override
        public void refuse(ErrorKind kind, int retryAfterMilliseconds) {
            mPending.remove(mRequest);
            mRequest.refuse(kind, retryAfterMilliseconds);
        }
    }
}
