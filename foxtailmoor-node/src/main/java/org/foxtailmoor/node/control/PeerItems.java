package org.foxtailmoor.node.control;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.foxtailmoor.core.source.StorePosition;
import org.foxtailmoor.protocol.generated.ItemResponse;

/** Reads the items of the store from other nodes. */
public interface PeerItems extends AutoCloseable {
    /**
     * Waits for changes at another node.
     *
     * @param host host of the node, not null
     * @param after position up to which the caller is complete, {@link StorePosition#NONE} to read
     *     every item
     * @param age age of the caller's copy; a node whose copy is newer responds at once
     * @param wait maximum wait
     * @return the response; the future fails with a {@link
     *     org.foxtailmoor.base.FoxtailmoorException} of kind NOT_READY if the node does not have
     *     all items, and PLATFORM_UNAVAILABLE if it does not respond
     */
    CompletableFuture<ItemResponse> read(
            String host, StorePosition after, Duration age, Duration wait);

    /** Closes the idle connections. Must be called where the items are read. */
    @Override
    default void close() {
        // Without connections, there is nothing to close.
    }
}
