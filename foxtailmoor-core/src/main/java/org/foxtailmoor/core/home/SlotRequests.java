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
 * Decides about requests without idempotency keys at their home: each one waits for a slot of the
 * target and runs at most once here. Belongs to the data loop.
 */
public final class SlotRequests implements HomeDecisions {
    private static final int LEAST_SERVER_ERROR = 500;

    private final DeadlineAdmission mAdmission;
    private final String mAddress;
    private final int mNodePort;
    private final Map<HomeRequest, SlotWork> mWorks = new IdentityHashMap<>();
    private String mServiceId = "";
    private Upstream mOwn;
    private boolean mLeaving;

    private SlotRequests(DeadlineAdmission admission, String address, int nodePort) {
        mAdmission = Objects.requireNonNull(admission, "admission");
        mAddress = Objects.requireNonNull(address, "address");
        mNodePort = nodePort;
    }

    /**
     * Creates the decisions of one home.
     *
     * @param admission owns the slots of the target, not null
     * @param address IP number by which the instance list names the node, not null
     * @param nodePort port by which the instance list names the node
     */
    public static SlotRequests of(DeadlineAdmission admission, String address, int nodePort) {
        return new SlotRequests(admission, address, nodePort);
    }

    /**
     * Takes the number of slots of the target. When the list says that the target is leaving, what
     * waits is refused, so that its entries place it elsewhere at once.
     */
    @Override
    public void update(RoutingSnapshot snapshot, String serviceId) {
        mServiceId = serviceId;
        mOwn = snapshot.upstreamAt(mAddress, mNodePort);
        if (mOwn != null && mOwn.slots() > 0) {
            mAdmission.resize(mOwn.slots());
        }
        if (isTargetLeaving()) {
            mAdmission.refuseQueued(ErrorKind.LEAVING);
        }
    }

    /**
     * Returns why the home can't take a request: the entry means another target than the one that
     * the list names beside this node. A target that the list does not name yet is left to check
     * the instance itself.
     */
    @Override
    public ErrorKind obstacle(RequestStart start) {
        String service = mOwn == null ? mServiceId : mOwn.serviceId();
        boolean otherInstance =
                mOwn != null
                        && !start.getInstanceId().isEmpty()
                        && !start.getInstanceId().equals(mOwn.id());
        if (!start.getServiceId().equals(service) || otherInstance) {
            return ErrorKind.NO_UPSTREAM;
        }
        return mLeaving || isTargetLeaving() ? ErrorKind.LEAVING : null;
    }

    @Override
    public void accept(HomeRequest request) {
        SlotWork work = new SlotWork(request);
        mWorks.put(request, work);
        mAdmission.submit(work);
    }

    @Override
    public boolean confirmDispatch(HomeRequest request) {
        return mWorks.containsKey(request);
    }

    @Override
    public void completed(HomeRequest request, StoredAnswer answer) {
        end(request, answer.status() >= LEAST_SERVER_ERROR);
    }

    @Override
    public void failed(HomeRequest request, ErrorKind kind) {
        boolean known = mWorks.containsKey(request);
        // The end of a caller's interest says nothing about the target.
        boolean fault = kind == ErrorKind.UPSTREAM_FAILED;
        if (known) {
            request.refuse(kind, 0);
            end(request, fault);
        }
    }

    @Override
    public void notSent(HomeRequest request, ErrorKind kind) {
        if (mWorks.containsKey(request)) {
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
        SlotWork work = mWorks.get(request);
        if (work == null) {
            return Cancellation.ENDED;
        }
        if (work.mDispatched) {
            return Cancellation.CANCEL_AT_TARGET;
        }
        mAdmission.cancel(work);
        mWorks.remove(request);
        return Cancellation.NOT_RUN;
    }

    @Override
    public void leave() {
        mLeaving = true;
    }

    @Override
    public boolean isIdle() {
        return mWorks.isEmpty();
    }

    @Override
    public void tick() {
        mAdmission.tick();
    }

    private boolean isTargetLeaving() {
        return mOwn != null && mOwn.leaving();
    }

    private void end(HomeRequest request, boolean fault) {
        SlotWork work = mWorks.remove(request);
        if (work != null) {
            mAdmission.recordOutcome(fault);
            mAdmission.complete(work);
        }
    }

    /** A request that waits for a slot or has one. */
    private final class SlotWork implements AdmissionRequest {
        private final HomeRequest mRequest;
        private final AdmissionClass mClass;
        private boolean mDispatched;

        SlotWork(HomeRequest request) {
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
            mWorks.remove(mRequest);
            mRequest.refuse(kind, retryAfterMilliseconds);
        }
    }
}
