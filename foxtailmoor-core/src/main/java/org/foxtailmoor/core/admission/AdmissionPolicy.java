package org.foxtailmoor.core.admission;

import org.foxtailmoor.protocol.generated.Load;

/**
 * Decides which requests are sent to one target, and when. Not thread-safe; used only on the data
 * loop.
 */
public interface AdmissionPolicy {
    /** Starts a request, queues it or refuses it. */
    void submit(AdmissionRequest request);

    /** Releases the slot of a started request and starts queued requests. */
    void complete(AdmissionRequest request);

    /**
     * Removes a request from its queue. Neither {@link AdmissionRequest#start} nor {@link
     * AdmissionRequest#refuse} is called for it afterwards.
     *
     * @return true if the request was queued and has not run; false if it was started or is unknown
     */
    boolean cancel(AdmissionRequest request);

    /** Refuses queued requests that can no longer meet their deadline. Called periodically. */
    void tick();

    /** Refuses new requests as LEAVING from now on; started and queued requests still run. */
    void leave();

    /** Returns whether no request is running or queued. */
    boolean isIdle();

    /** Sets the number of slots, at least 1. Running requests are not affected. */
    void resize(int slots);

    /** Returns the bytes of the long bodies that run at the target, 0 if they are not limited. */
    default long targetBodyBytes() {
        return 0;
    }

    /** Returns the number of requests that wait although a slot is free, 0 if not known. */
    default int waitingForBodyBytes() {
        return 0;
    }

    /** Returns the current load of the target, as reported to peers. */
    Load load();
}
