package org.foxtailmoor.core.home;

import java.util.ArrayList;
import java.util.List;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.core.admission.AdmissionClass;
import org.foxtailmoor.core.admission.AdmissionRequest;

/** A request at its home that waits for a slot or runs, with the requests that joined it. */
final class HomeWork implements AdmissionRequest {
    final HomeRequest mRequest;

    /** Repeats with the same key that get the same answer. */
    final List<HomeRequest> mJoined = new ArrayList<>(0);

    boolean mDispatched;
    boolean mAlone;
    private final HomeRequests mHome;
    private final AdmissionClass mClass;

    HomeWork(HomeRequests home, HomeRequest request) {
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
        return mHome.verdict(mRequest) == CrashGuard.Verdict.SUSPECT;
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
