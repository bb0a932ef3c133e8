package org.foxtailmoor.core.home;

import java.util.ArrayList;
import java.util.Collection;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.core.admission.AdmissionClass;
import org.foxtailmoor.core.admission.AdmissionRequest;
import org.foxtailmoor.core.admission.DeadlineAdmission;
import org.foxtailmoor.core.routing.RoutingSnapshot;
import org.foxtailmoor.core.routing.Upstream;
import org.foxtailmoor.protocol.generated.RequestStart;

/**
 * Decisions for requests without idempotency keys: each one is queued for a slot of the target and
 * runs at most once on this node. Not thread-safe; used only on the data loop.
 */
public final class SlotRequests implements HomeDecisions {
    private static final int MIN_SERVER_ERROR_STATUS = 500;

    private final DeadlineAdmission mAdmission;
    private final String mAddress;
    private final int mNodePort;
    private final Map<HomeRequest, SlotRequest> mPending = new IdentityHashMap<>();
    private String mServiceId = "";
    private Upstream mOwnUpstream;
    private boolean mLeaving;

    private SlotRequests(DeadlineAdmission admission, String address, int nodePort) {
        mAdmission = Objects.requireNonNull(admission, "admission");
        mAddress = Objects.requireNonNull(address, "address");
        mNodePort = nodePort;
    }

    /**
     * Creates the decisions of one home.
     *
     * @param admission manages the slots of the target, not null
     * @param address IP address of this node in the instance list, not null
     * @param nodePort port of this node in the instance list
     */
    public static SlotRequests of(DeadlineAdmission admission, String address, int nodePort) {
        return new SlotRequests(admission, address, nodePort);
    }

    /**
     * Applies the number of slots of the target. If the instance list says that the target is
     * leaving, queued requests are refused, so that the entry nodes place them elsewhere
     * immediately.
     */
    @Override
    public void update(RoutingSnapshot snapshot, String serviceId) {
        mServiceId = serviceId;
        mOwnUpstream = snapshot.upstreamAt(mAddress, mNodePort);
        if (mOwnUpstream != null && mOwnUpstream.slots() > 0) {
            mAdmission.resize(mOwnUpstream.slots());
        }
        if (isTargetLeaving()) {
            mAdmission.refuseQueued(ErrorKind.LEAVING);
        }
    }

    /**
     * Refuses a request that is addressed to a different target than the one that the instance list
     * has at this node, and any request while the target or this node is leaving. While the list
     * has no target at this node, the target itself has to check the instance id.
     */
    @Override
    public ErrorKind refusalReason(RequestStart start) {
        String service = mOwnUpstream == null ? mServiceId : mOwnUpstream.serviceId();
        boolean otherInstance =
                mOwnUpstream != null
                        && !start.getInstanceId().isEmpty()
                        && !start.getInstanceId().equals(mOwnUpstream.id());
        if (!start.getServiceId().equals(service) || otherInstance) {
            return ErrorKind.NO_UPSTREAM;
        }
        return mLeaving || isTargetLeaving() ? ErrorKind.LEAVING : null;
    }

    @Override
    public void accept(HomeRequest request) {
        SlotRequest pending = new SlotRequest(request);
        mPending.put(request, pending);
        mAdmission.submit(pending);
    }

    @Override
    public boolean confirmDispatch(HomeRequest request) {
        return mPending.containsKey(request);
    }

    @Override
    public void completed(HomeRequest request, StoredAnswer answer) {
        end(request, answer.status() >= MIN_SERVER_ERROR_STATUS);
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
            end(request, kind == ErrorKind.UPSTREAM_REJECTED);
        }
    }

    @Override
    public void crashed(Collection<? extends HomeRequest> requests) {
        List<HomeRequest> all = new ArrayList<>(requests);
        all.forEach(request -> failed(request, ErrorKind.UPSTREAM_FAILED));
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
        mPending.remove(request);
        return Cancellation.NOT_RUN;
    }

    @Override
    public void leave() {
        mLeaving = true;
    }

    @Override
    public boolean isIdle() {
        return mPending.isEmpty();
    }

    @Override
    public void tick() {
        mAdmission.tick();
    }

    private boolean isTargetLeaving() {
        return mOwnUpstream != null && mOwnUpstream.leaving();
    }

    private void end(HomeRequest request, boolean targetFailed) {
        SlotRequest pending = mPending.remove(request);
        if (pending != null) {
            mAdmission.recordOutcome(targetFailed);
            mAdmission.complete(pending);
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
        public boolean requiresIsolation() {
            return false;
        }

        @Override
        public boolean start() {
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
