package org.foxtailmoor.core.source;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Read-only client of the configuration service.
 *
 * <p>Every call counts against the call budget of the service, including a pending watch. Futures
 * fail with a {@link org.foxtailmoor.base.FoxtailmoorException} of kind PLATFORM_UNAVAILABLE.
 */
public interface ConfigurationSource {
    /**
     * Reads a value.
     *
     * @param key key of the value, not null
     * @return the value, or empty if the service has none with this key
     */
    CompletableFuture<Optional<SourceValue>> read(String key);

    /**
     * Waits for a value with a higher revision than a known one.
     *
     * @param key key of the value, not null
     * @param afterRevision known revision, 0 for none
     * @param timeout maximum wait
     * @return the newer value, or empty if there was none within the timeout
     */
    CompletableFuture<Optional<SourceValue>> watch(
            String key, long afterRevision, Duration timeout);
}
