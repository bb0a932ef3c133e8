package org.foxtailmoor.core.source;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

/**
 * Items of the store that one node passes on to another.
 *
 * @param items states of the items, including removals
 * @param revision store revision up to which the receiver is complete after applying the batch, at
 *     least 0
 * @param complete whether the batch has every item, so that items missing from it were removed
 * @param recoveryGrace remaining time for which the sender keeps items that expired during an
 *     outage of the store, from zero to {@link #MAX_RECOVERY_GRACE}
 */
public record StoreItemBatch(
        List<StoreItem> items, long revision, boolean complete, Duration recoveryGrace) {
    /** Longest recovery grace of a batch. */
    public static final Duration MAX_RECOVERY_GRACE = Duration.ofMillis(Integer.MAX_VALUE);

    /**
     * Copies the items.
     *
     * @throws NullPointerException if the items, one of them or the recovery grace is null
     * @throws IllegalArgumentException if the revision or the recovery grace is out of range
     */
    public StoreItemBatch {
        items = List.copyOf(items);
        Objects.requireNonNull(recoveryGrace, "recoveryGrace");
        if (revision < 0) {
            throw new IllegalArgumentException("negative revision " + revision);
        }
        if (recoveryGrace.isNegative() || recoveryGrace.compareTo(MAX_RECOVERY_GRACE) > 0) {
            throw new IllegalArgumentException("recovery grace out of range: " + recoveryGrace);
        }
    }
}
