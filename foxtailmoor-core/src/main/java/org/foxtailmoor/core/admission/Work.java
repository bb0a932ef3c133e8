package org.foxtailmoor.core.admission;

import org.foxtailmoor.base.ErrorKind;

/** A request that waits for a slot of the target. */
public interface Work {
    /** Returns the class of the request, never null; constant. */
    AdmissionClass admissionClass();

    /** Returns the ticker time at which the request's deadline passes; constant. */
    long deadlineNanoseconds();

    /** Returns the rank among waiting requests, 0 goes first; constant. */
    default int priority() {
        return 0;
    }

    /** Returns the ticker time until which an answer is on time, at most the deadline; constant. */
    default long objectiveNanoseconds() {
        return deadlineNanoseconds();
    }

    /** Returns whether the request must run without any other request at the target. */
    boolean runsAlone();

    /**
     * Runs the request. The work holds a slot from here until {@link AdmissionPolicy#complete}.
     *
     * @return whether the work was handed to the target; if not, the work has answered its caller
     *     itself and the controller takes the slot back
     */
    boolean start();

    /**
     * Ends the request as not run.
     *
     * @param kind a kind that says "not run"
     * @param retryAfterMilliseconds time after which another attempt may succeed, 0 if not stated
     */
    void refuse(ErrorKind kind, int retryAfterMilliseconds);
}
