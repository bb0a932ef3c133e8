package org.foxtailmoor.core.source;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Reads the platform's list of instances, which may lag behind the truth.
 *
 * <p>Futures fail with a {@link org.foxtailmoor.base.FoxtailmoorException} of kind
 * PLATFORM_UNAVAILABLE.
 */
public interface InstanceList {
    /** Reads the list as the platform has it now. */
    CompletableFuture<InstanceListing> read();

    /**
     * Waits for a list with a revision above a known one.
     *
     * @param afterRevision known revision, 0 for none
     * @param timeout longest wait
     * @return the newer list, or empty if there was none within the timeout
     */
    CompletableFuture<Optional<InstanceListing>> watch(long afterRevision, Duration timeout);
}
