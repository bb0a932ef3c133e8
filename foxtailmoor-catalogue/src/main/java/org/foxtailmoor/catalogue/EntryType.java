package org.foxtailmoor.catalogue;

import java.util.Optional;
import org.foxtailmoor.protocol.generated.Entry;

/** Lists the types of catalogue entries, in the order in which they are printed. */
public enum EntryType {
    /** Team responsible for entries. */
    OWNER("owner", Entry.BodyCase.OWNER_ENTRY, false),
    /** Request class with its weight under overload. */
    CLASS("class", Entry.BodyCase.CLASS_ENTRY, false),
    /** Group of zones. */
    REGION("region", Entry.BodyCase.REGION_ENTRY, false),
    /** Program that serves requests. */
    SERVICE("service", Entry.BodyCase.SERVICE_ENTRY, true),
    /** Mapping of a method and a path prefix to a service. */
    ROUTE("route", Entry.BodyCase.ROUTE_ENTRY, true),
    /** Rate and concurrency limit across the fleet. */
    LIMIT("limit", Entry.BodyCase.LIMIT_ENTRY, true),
    /** Retry policy. */
    RETRY("retry", Entry.BodyCase.RETRY_ENTRY, true);

    private final String mLabel;
    private final Entry.BodyCase mBodyCase;
    private final boolean mHasClass;

    EntryType(String label, Entry.BodyCase bodyCase, boolean hasClass) {
        mLabel = label;
        mBodyCase = bodyCase;
        mHasClass = hasClass;
    }

    /** Returns the name of the type in catalogue files and in messages. */
    public String label() {
        return mLabel;
    }

    /** Returns whether entries of the type belong to a class. */
    public boolean hasClass() {
        return mHasClass;
    }

    /**
     * Returns the type of an entry, or empty for an entry without a body of a known type.
     *
     * @param entry entry, not null
     */
    public static Optional<EntryType> of(Entry entry) {
        for (EntryType type : values()) {
            if (type.mBodyCase == entry.getBodyCase()) {
                return Optional.of(type);
            }
        }
        return Optional.empty();
    }
}
