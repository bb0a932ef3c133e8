package org.foxtailmoor.core.source;

import com.google.protobuf.ByteString;
import java.util.Objects;

/**
 * State of a store item at one position.
 *
 * @param key key of the item
 * @param position position of the item's last change in the history of the store
 * @param value bytes of the item, or null if the change removed the item
 */
public record StoreItem(String key, StorePosition position, ByteString value) {
    /** Checks that the key and the position are not null. */
    public StoreItem {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(position, "position");
    }

    /** Creates an item of a store without eras. */
    public StoreItem(String key, long revision, ByteString value) {
        this(key, new StorePosition(0, revision), value);
    }

    /** Returns the tombstone of an item that was removed at a position. */
    public static StoreItem removed(String key, StorePosition position) {
        return new StoreItem(key, position, null);
    }

    /** Returns the tombstone of an item that was removed from a store without eras. */
    public static StoreItem removed(String key, long revision) {
        return new StoreItem(key, revision, null);
    }

    /** Returns whether the change removed the item. */
    public boolean isRemoved() {
        return value == null;
    }
}
