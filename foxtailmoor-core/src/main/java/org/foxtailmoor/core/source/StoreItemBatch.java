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
 * @param skipped revisions that the sender has skipped in a listing
 */
public record StoreItemBatch(
        List<StoreItem> items,
        long revision,
        boolean complete,
        Duration recoveryGrace,
        Skipped skipped) {
    /**
     * Revisions between two others. A copy that has skipped them may not know removals of items
     * that were written in between.
     *
     * @param after revision before the first skipped one, at least 0
     * @param before revision after the last skipped one, at least that value
     */
    public record Skipped(long after, long before) {
        /** No revisions. */
        public static final Skipped NONE = new Skipped(0, 0);

        /**
         * Checks the range.
         *
         * @throws IllegalArgumentException if a revision is out of range
         */
        public Skipped {
            if (after < 0 || before < after) {
                throw new IllegalArgumentException("no range: " + after + " to " + before);
            }
        }

        /** Returns whether a revision was skipped. */
        public boolean contains(long revision) {
            return revision > after && revision < before;
        }
    }

    /** Longest recovery grace of a batch. */
    public static final Duration MAX_RECOVERY_GRACE = Duration.ofMillis(Integer.MAX_VALUE);

    /**
     * Copies the items.
     *
     * @throws NullPointerException if a component or one of the items is null
     * @throws IllegalArgumentException if the revision or the recovery grace is out of range
     */
    public StoreItemBatch {
        items = List.copyOf(items);
        Objects.requireNonNull(recoveryGrace, "recoveryGrace");
        Objects.requireNonNull(skipped, "skipped");
        if (revision < 0) {
            throw new IllegalArgumentException("negative revision " + revision);
        }
        if (recoveryGrace.isNegative() || recoveryGrace.compareTo(MAX_RECOVERY_GRACE) > 0) {
            throw new IllegalArgumentException("recovery grace out of range: " + recoveryGrace);
        }
    }

    /** Creates a batch of a sender that has skipped no revisions. */
    public StoreItemBatch(
            List<StoreItem> items, long revision, boolean complete, Duration recoveryGrace) {
        this(items, revision, complete, recoveryGrace, Skipped.NONE);
    }
}
