package org.foxtailmoor.core.source;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/**
 * Earlier values of large items, which are the bases of differences. Bounded by the number of
 * values of an item and by the size of all values; the oldest ones are dropped first. Confined to
 * the control loop.
 */
final class EarlierValues {
    /** Size in bytes above which an item is large. */
    private static final int LARGE_VALUE_BYTES = 4_096;

    private static final int MAX_VALUES_PER_ITEM = 4;

    /** Size of all values in bytes; leaves room for the values of one item of 1 MB. */
    private static final int MAX_BYTES = 6 * 1_024 * 1_024;

    /** Values in the order in which they were replaced. */
    private final Deque<StoreItem> mItems = new ArrayDeque<>();

    private long mBytes;

    /** Keeps the value of a large item that is replaced. */
    void add(StoreItem item) {
        if (count(item.key()) == MAX_VALUES_PER_ITEM) {
            removeOldest(item.key());
        }
        mItems.addLast(item);
        mBytes += item.value().size();
        while (mBytes > MAX_BYTES) {
            mBytes -= mItems.removeFirst().value().size();
        }
    }

    /** Returns whether an item is so large that differences to its value are worth sending. */
    static boolean isLarge(StoreItem item) {
        return item.value().size() > LARGE_VALUE_BYTES;
    }

    /**
     * Returns the value of an item at a position, or null if it is not kept. A value of another era
     * is not returned: what the store had there is not known.
     */
    StoreItem at(String key, StorePosition position) {
        for (Iterator<StoreItem> newest = mItems.descendingIterator(); newest.hasNext(); ) {
            StoreItem item = newest.next();
            if (item.key().equals(key)
                    && item.position().isInEraOf(position)
                    && !item.position().isAfter(position)) {
                return item;
            }
        }
        return null;
    }

    /** Drops the values of an item. */
    void forget(String key) {
        while (count(key) > 0) {
            removeOldest(key);
        }
    }

    private int count(String key) {
        int count = 0;
        for (StoreItem item : mItems) {
            count += item.key().equals(key) ? 1 : 0;
        }
        return count;
    }

    private void removeOldest(String key) {
        for (Iterator<StoreItem> oldest = mItems.iterator(); oldest.hasNext(); ) {
            StoreItem item = oldest.next();
            if (item.key().equals(key)) {
                oldest.remove();
                mBytes -= item.value().size();
                return;
            }
        }
    }
}
