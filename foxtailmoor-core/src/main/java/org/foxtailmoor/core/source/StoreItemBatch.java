package org.foxtailmoor.core.source;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

/**
 * Items of the store that one node passes on to another.
 *
 * @param items states of the items, including removals
 * @param position position of the store up to which the receiver is complete after applying the
 *     batch
 * @param complete whether the batch has every item, so that items missing from it were removed
 * @param recoveryGrace remaining time for which the sender keeps items that expired during an
 *     outage of the store, from zero to {@link #MAX_RECOVERY_GRACE}
 * @param skipped positions that the sender has skipped in a listing
 * @param ignored states that exist in the store and that the sender does not use
 */
public record StoreItemBatch(
        List<StoreItem> items,
        StorePosition position,
        boolean complete,
        Duration recoveryGrace,
        Skipped skipped,
        List<StoreItem> ignored) {
    /**
     * Positions of one era between two others. A copy that has skipped them may not know removals
     * of items that were written in between.
     *
     * @param after position before the first skipped one
     * @param before position after the last skipped one, not before the other
     */
    public record Skipped(StorePosition after, StorePosition before) {
        /** No positions. */
        public static final Skipped NONE = new Skipped(StorePosition.NONE, StorePosition.NONE);

        /**
         * Checks the range.
         *
         * @throws IllegalArgumentException if the positions are no range of one era
         */
        public Skipped {
            if (!after.isInEraOf(before) || after.isAfter(before)) {
                throw new IllegalArgumentException("no range: " + after + " to " + before);
            }
        }

        /** Returns whether a position was skipped. */
        public boolean contains(StorePosition position) {
            return position.isAfter(after) && before.isAfter(position);
        }
    }

    /** Longest recovery grace of a batch. */
    public static final Duration MAX_RECOVERY_GRACE = Duration.ofMillis(Integer.MAX_VALUE);

    /**
     * Copies the items.
     *
     * @throws NullPointerException if a component or one of the items is null
     * @throws IllegalArgumentException if the recovery grace is out of range
     */
    public StoreItemBatch {
        items = List.copyOf(items);
        ignored = List.copyOf(ignored);
        Objects.requireNonNull(position, "position");
        Objects.requireNonNull(recoveryGrace, "recoveryGrace");
        Objects.requireNonNull(skipped, "skipped");
        if (recoveryGrace.isNegative() || recoveryGrace.compareTo(MAX_RECOVERY_GRACE) > 0) {
            throw new IllegalArgumentException("recovery grace out of range: " + recoveryGrace);
        }
    }

    /** Creates a batch of a sender that has skipped no revisions. */
    public StoreItemBatch(
            List<StoreItem> items,
            StorePosition position,
            boolean complete,
            Duration recoveryGrace) {
        this(items, position, complete, recoveryGrace, Skipped.NONE, List.of());
    }

    /** Creates a batch of a sender that uses all states of the store. */
    public StoreItemBatch(
            List<StoreItem> items,
            StorePosition position,
            boolean complete,
            Duration recoveryGrace,
            Skipped skipped) {
        this(items, position, complete, recoveryGrace, skipped, List.of());
    }
}
