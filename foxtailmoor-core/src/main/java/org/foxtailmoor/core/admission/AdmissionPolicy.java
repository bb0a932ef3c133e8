package org.foxtailmoor.core.admission;

import org.foxtailmoor.protocol.generated.Load;

/** Decides when the requests of one target run. Belongs to the data loop. */
public interface AdmissionPolicy {
    /** Starts a request, queues it, or refuses it at once. */
    void submit(Work work);

    /** Takes back the slot of a started request and starts waiting ones. */
    void complete(Work work);

    /**
     * Removes a request from its queue. Neither {@link Work#start} nor {@link Work#refuse} is
     * called for it afterwards.
     *
     * @return true if the request was waiting and has not run; false if it was started or is
     *     unknown
     */
    boolean cancel(Work work);

    /** Runs the systems over the queues: refuses work whose deadline cannot be met any more. */
    void tick();

    /** Refuses new work as LEAVING from now on; started and waiting work still runs. */
    void leave();

    /** Returns whether no request runs or waits. */
    boolean isIdle();

    /** Changes the number of slots, at least 1; running work is not affected. */
    void resize(int slots);

    /** Returns the load of the target. */
    Load load();
}
