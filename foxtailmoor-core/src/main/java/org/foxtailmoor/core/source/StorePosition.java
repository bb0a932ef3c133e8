package org.foxtailmoor.core.source;

/**
 * Position in the history of a store. A store that comes back from an older copy begins a new era,
 * in which it gives out revisions again; positions are therefore compared by their era first.
 *
 * @param era unsigned number of the era, 0 for a store without eras
 * @param revision revision within the era, at least 0
 */
public record StorePosition(long era, long revision) implements Comparable<StorePosition> {
    /** Position before every change. */
    public static final StorePosition NONE = new StorePosition(0, 0);

    /**
     * Checks the revision.
     *
     * @throws IllegalArgumentException if the revision is negative
     */
    public StorePosition {
        if (revision < 0) {
            throw new IllegalArgumentException("negative revision " + revision);
        }
    }

    /** Returns whether both positions belong to one era, so that their revisions compare. */
    public boolean isInEraOf(StorePosition other) {
        return era == other.era;
    }

    /** Returns whether this position belongs to an earlier era than another one. */
    public boolean isInEraBefore(StorePosition other) {
        return Long.compareUnsigned(era, other.era) < 0;
    }

    /** Returns whether this position comes after another one. */
    public boolean isAfter(StorePosition other) {
        return compareTo(other) > 0;
    }

    /** Returns the later of two positions. */
    public static StorePosition later(StorePosition first, StorePosition second) {
        return first.compareTo(second) >= 0 ? first : second;
    }

    @Override
    public int compareTo(StorePosition other) {
        int byEra = Long.compareUnsigned(era, other.era);
        return byEra != 0 ? byEra : Long.compare(revision, other.revision);
    }

    @Override
    public String toString() {
        return era == 0
                ? Long.toString(revision)
                : revision + " of era " + Long.toUnsignedString(era);
    }
}
