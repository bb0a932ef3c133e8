package org.foxtailmoor.core.source;

import com.google.protobuf.ByteString;
import java.util.Objects;

/**
 * State of a store item at one revision.
 *
 * @param key key of the item
 * @param revision store revision of the item's last change; every change of the store increases it
 * @param value bytes of the item, or null if the change removed the item
 */
public record StoreItem(String key, long revision, ByteString value) {
    /** Checks that the key is not null. */
    public StoreItem {
        Objects.requireNonNull(key, "key");
    }

    /** Returns the tombstone of an item that was removed at a revision. */
    public static StoreItem removed(String key, long revision) {
        return new StoreItem(key, revision, null);
    }

    /** Returns whether the change removed the item. */
    public boolean isRemoved() {
        return value == null;
    }
}
