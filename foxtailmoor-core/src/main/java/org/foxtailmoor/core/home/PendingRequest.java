package org.foxtailmoor.core.home;

import java.util.ArrayList;
import java.util.List;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.core.admission.AdmissionClass;
import org.foxtailmoor.core.admission.AdmissionRequest;

/** A queued or running request at its home, with the requests that joined it. */
final class PendingRequest implements AdmissionRequest {
    final HomeRequest mRequest;

    /** Repeats with the same idempotency key, which get the same answer. */
    final List<HomeRequest> mJoined = new ArrayList<>(0);

    boolean mDispatched;
    boolean mIsolated;
    private final HomeRequests mHome;
    private final AdmissionClass mClass;

    PendingRequest(HomeRequests home, HomeRequest request) {
        mHome = home;
        mRequest = request;
        mClass = AdmissionClass.of(request.route());
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
    public boolean requiresIsolation() {
        return mHome.crashStatus(mRequest) == CrashGuard.Status.SUSPECT;
    }

    @Override
    public boolean start() {
        return mHome.start(this);
    }

    @Override
    public void refuse(ErrorKind kind, int retryAfterMilliseconds) {
        mHome.endNotRun(this, kind, retryAfterMilliseconds);
    }
}
