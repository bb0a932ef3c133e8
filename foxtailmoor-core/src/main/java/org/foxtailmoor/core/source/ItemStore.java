package org.foxtailmoor.core.source;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Reads the items of a store that orders all changes by one revision. Nothing can be written there.
 *
 * <p>Futures fail with a {@link org.foxtailmoor.base.FoxtailmoorException} of kind
 * PLATFORM_UNAVAILABLE or PLATFORM_HISTORY_LOST.
 */
public interface ItemStore {
    /**
     * Part of a listing. Parts that are read one after the other are no snapshot.
     *
     * @param items items in the order of their keys
     * @param more whether another part follows the last item
     * @param revision revision of the store when it answered
     */
    record Page(List<StoreItem> items, boolean more, long revision) {
        /** Copies the items. */
        public Page {
            items = List.copyOf(items);
        }
    }

    /**
     * Changes in the order of their revisions.
     *
     * @param items items as they were changed
     * @param revision revision up to which the changes are complete
     */
    record Changes(List<StoreItem> items, long revision) {
        /** Copies the items. */
        public Changes {
            items = List.copyOf(items);
        }
    }

    /**
     * Lists the items after a key.
     *
     * @param afterKey last key that is known, empty for the first part, not null
     */
    CompletableFuture<Page> list(String afterKey);

    /**
     * Waits for changes after a revision.
     *
     * @param afterRevision last revision that is known
     * @param wait longest wait, after which the answer has no items
     */
    CompletableFuture<Changes> watch(long afterRevision, Duration wait);
}
