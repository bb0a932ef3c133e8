package org.foxtailmoor.core.admission;

import org.foxtailmoor.base.ErrorKind;

/** Request that records what the controller did with it. */
final class TestRequest implements AdmissionRequest {
    final AdmissionClass mClass;
    final long mDeadline;
    boolean mSuspect;
    boolean mStarted;
    ErrorKind mRefusal;
    int mRetryAfter;
    Runnable mOnStart = () -> {};

    TestRequest(AdmissionClass admissionClass, long deadlineNanoseconds) {
        mClass = admissionClass;
        mDeadline = deadlineNanoseconds;
    }

    @Override
    public AdmissionClass admissionClass() {
        return mClass;
    }

    @Override
    public long deadlineNanoseconds() {
        return mDeadline;
    }

    @Override
    public boolean requiresIsolation() {
        return mSuspect;
    }

    @Override
    public boolean start() {
        mStarted = true;
        mOnStart.run();
        return true;
    }

    @Override
    public void refuse(ErrorKind kind, int retryAfterMilliseconds) {
        mRefusal = kind;
        mRetryAfter = retryAfterMilliseconds;
    }
}
