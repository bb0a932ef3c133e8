package org.foxtailmoor.core.source;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Read-only client of a key-value store. Its revisions order all changes of one era, see {@link
 * StorePosition}.
 *
 * <p>Futures fail with a {@link org.foxtailmoor.base.FoxtailmoorException} of kind
 * PLATFORM_UNAVAILABLE or PLATFORM_HISTORY_LOST.
 */
public interface ItemStore {
    /**
     * Page of a listing. Successive pages do not form a consistent snapshot.
     *
     * @param items items sorted by key
     * @param more whether another page follows
     * @param position position of the store at the time of the response
     */
    record Page(List<StoreItem> items, boolean more, StorePosition position) {
        /** Copies the items. */
        public Page {
            items = List.copyOf(items);
        }

        /** Creates a page of a store without eras. */
        public Page(List<StoreItem> items, boolean more, long revision) {
            this(items, more, new StorePosition(0, revision));
        }
    }

    /**
     * Changes sorted by revision.
     *
     * @param items state of each item after its change
     * @param position position up to which the changes are complete
     */
    record Changes(List<StoreItem> items, StorePosition position) {
        /** Copies the items. */
        public Changes {
            items = List.copyOf(items);
        }

        /** Creates changes of a store without eras. */
        public Changes(List<StoreItem> items, long revision) {
            this(items, new StorePosition(0, revision));
        }
    }

    /**
     * Tells the era of the items that the caller knows from another source, which may be higher
     * than that of the responses to this client.
     *
     * @param era unsigned number
     */
    default void observeEra(long era) {
        // A store without eras has nothing to compare it with.
    }

    /**
     * Lists the items after a key.
     *
     * @param afterKey last key of the previous page, empty for the first page, not null
     */
    CompletableFuture<Page> list(String afterKey);

    /**
     * Lists the first instances, which may be outdated. The listing does not have the catalogue, so
     * that many nodes that start at the same time can afford it.
     */
    CompletableFuture<Page> listInstances();

    /**
     * Waits for changes after a revision.
     *
     * @param afterRevision last known revision
     * @param wait maximum wait, after which the response has no items
     */
    CompletableFuture<Changes> watch(long afterRevision, Duration wait);
}
