package org.foxtailmoor.core.source;

import com.google.protobuf.ByteString;
import java.util.Objects;

/**
 * One item of a store, as it was at one revision.
 *
 * @param key key of the item
 * @param revision revision of the last change of the item; grows with every change of the store
 * @param value bytes of the item, or null if the change removed the item
 */
public record StoreItem(String key, long revision, ByteString value) {
    /** Checks that the key is not null. */
    public StoreItem {
        Objects.requireNonNull(key, "key");
    }

    /** Returns an item that was removed at a revision. */
    public static StoreItem removed(String key, long revision) {
        return new StoreItem(key, revision, null);
    }

    /** Returns whether the change removed the item. */
    public boolean isRemoved() {
        return value == null;
    }
}
