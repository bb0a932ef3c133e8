package org.foxtailmoor.core.admission;

import org.foxtailmoor.base.ErrorKind;

/** A request for a slot of the target, implemented by the submitter. */
public interface AdmissionRequest {
    /** Returns the class of the request, never null. Must not change. */
    AdmissionClass admissionClass();

    /** Returns the deadline as a ticker time. Must not change. */
    long deadlineNanoseconds();

    /** Returns the priority among queued requests; lower values run first. Must not change. */
    default int priority() {
        return 0;
    }

    /**
     * Returns the latency objective as a ticker time: an answer after it is late. At most the
     * deadline. Must not change.
     */
    default long objectiveNanoseconds() {
        return deadlineNanoseconds();
    }

    /** Returns the length of the body in bytes. Must not change. */
    default int bodyBytes() {
        return 0;
    }

    /**
     * Returns the service of the instance at which the request entered, empty if unknown. Must not
     * change.
     */
    default String callerService() {
        return "";
    }

    /** Returns whether the request may only run while the target has no other request. */
    boolean requiresIsolation();

    /**
     * Starts the request. It holds a slot until {@link AdmissionPolicy#complete} is called.
     *
     * @return whether the request was passed to the target; if not, the request has answered its
     *     caller itself and the policy releases the slot
     */
    boolean start();

    /**
     * Refuses the request. It has not run and will not be started.
     *
     * @param kind error kind that reports "not run"
     * @param retryAfterMilliseconds delay after which a retry may succeed, 0 if unknown
     */
    void refuse(ErrorKind kind, int retryAfterMilliseconds);
}
