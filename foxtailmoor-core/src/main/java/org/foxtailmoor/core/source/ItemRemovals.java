package org.foxtailmoor.core.source;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Removals of items, which are remembered to pass them on and to recognize late states of the
 * removed items. Confined to the control loop.
 */
final class ItemRemovals {
    /** Number of removals that are remembered. */
    static final int MAX_REMOVALS = 4_096;

    /**
     * Removal of an item.
     *
     * @param position position of the removal
     * @param lastVersion last known version of its writer, or null
     */
    private record Removal(StorePosition position, WriterVersion lastVersion) {}

    private final ItemOrder mOrder;
    private final LinkedHashMap<String, Removal> mRemovals = new LinkedHashMap<>();

    ItemRemovals(ItemOrder order) {
        mOrder = order;
    }

    /**
     * Remembers a removal.
     *
     * @param key key of the item
     * @param position position of the removal
     * @param held last known state of the item, or null if it is not known or may be written again
     *     as it was
     * @return position up to which removals are no longer known, {@link StorePosition#NONE} if this
     *     one makes none be forgotten
     */
    StorePosition add(String key, StorePosition position, StoreItem held) {
        Removal before = mRemovals.remove(key);
        WriterVersion last = before == null ? null : before.lastVersion();
        mRemovals.put(key, new Removal(position, held == null ? last : mOrder.versionOf(held)));
        if (mRemovals.size() <= MAX_REMOVALS) {
            return StorePosition.NONE;
        }
        Iterator<Removal> oldest = mRemovals.values().iterator();
        StorePosition forgotten = oldest.next().position();
        oldest.remove();
        return forgotten;
    }

    /** Forgets the removal of an item that exists again. */
    void forget(String key) {
        mRemovals.remove(key);
    }

    /**
     * Returns whether a state of an item is from before its removal. A state of a later era is, if
     * its writer states no later version than the removed item had: the store has come back from a
     * copy in which the item still exists.
     */
    boolean includes(StoreItem item) {
        Removal removal = mRemovals.get(item.key());
        if (removal == null) {
            return false;
        }
        if (item.isRemoved() || !removal.position().isInEraBefore(item.position())) {
            return removal.position().isAfter(item.position());
        }
        WriterVersion version = removal.lastVersion() == null ? null : mOrder.versionOf(item);
        return version != null && version.compareTo(removal.lastVersion()) <= 0;
    }

    /** Returns whether an item was removed in an earlier era than that of a state. */
    boolean isInEraBefore(StoreItem item) {
        Removal removal = mRemovals.get(item.key());
        return removal != null && removal.position().isInEraBefore(item.position());
    }

    /** Calls a consumer with the tombstone of each removal after a position. */
    void forEachAfter(StorePosition position, Consumer<StoreItem> consumer) {
        for (Map.Entry<String, Removal> removal : mRemovals.entrySet()) {
            if (removal.getValue().position().isAfter(position)) {
                consumer.accept(StoreItem.removed(removal.getKey(), removal.getValue().position()));
            }
        }
    }
}
