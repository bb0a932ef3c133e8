package org.foxtailmoor.core.source;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Read-only client of the platform's instance list, which may lag behind the actual state.
 *
 * <p>Futures fail with a {@link org.foxtailmoor.base.FoxtailmoorException} of kind
 * PLATFORM_UNAVAILABLE.
 */
public interface InstanceList {
    /** Reads the current list. */
    CompletableFuture<InstanceListing> read();

    /**
     * Waits for a list with a higher revision than a known one.
     *
     * @param afterRevision known revision, 0 for none
     * @param timeout maximum wait
     * @return the newer list, or empty if there was none within the timeout
     */
    CompletableFuture<Optional<InstanceListing>> watch(long afterRevision, Duration timeout);
}
