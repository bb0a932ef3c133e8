package org.foxtailmoor.core.source;

/**
 * Orders the states of an item. Within one era of the store its positions tell. In different eras
 * they do not: an older copy of the store has old values, and the writers repeat later ones. Then
 * the version that the writer states decides; if it is missing or equal, the later era does.
 */
@FunctionalInterface
public interface ItemOrder {
    /** Order of items that state no versions. */
    ItemOrder BY_POSITION = item -> null;

    /**
     * Returns the version that the writer states in a value.
     *
     * @param item item with a value, not null
     * @return version, or null if the value states none or cannot be read
     */
    WriterVersion versionOf(StoreItem item);

    /**
     * Returns whether an item stays in the store until its writer changes it. Other items lapse
     * when their writers are silent.
     */
    default boolean isLasting(String key) {
        return false;
    }

    /**
     * Returns whether one state of an item is older than another one.
     *
     * @param item state, may be a removal
     * @param other state with a value
     */
    default boolean isOlder(StoreItem item, StoreItem other) {
        if (item.position().isInEraOf(other.position())
                || item.isRemoved()
                || item.value().equals(other.value())) {
            return other.position().isAfter(item.position());
        }
        WriterVersion version = versionOf(item);
        WriterVersion otherVersion = versionOf(other);
        if (version == null || otherVersion == null || version.equals(otherVersion)) {
            return other.position().isAfter(item.position());
        }
        return version.compareTo(otherVersion) < 0;
    }
}
