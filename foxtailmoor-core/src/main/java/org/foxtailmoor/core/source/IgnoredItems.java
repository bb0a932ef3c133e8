package org.foxtailmoor.core.source;

import io.netty.util.concurrent.Ticker;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * States of the present era that a copy does not use, because their writers stated later versions
 * before the store came back. The store drops the entry of a silent writer; a state that is still
 * there after that time belongs to a live writer and is used. Confined to the control loop.
 */
final class IgnoredItems {
    /** Three heartbeat intervals of 1.5 s, after which an entry lapses, and time to learn it. */
    static final long LAPSE_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(5_000);

    private record Ignored(StoreItem item, long dueNanoseconds) {}

    private final Ticker mTicker;
    private final Map<String, Ignored> mItems = new LinkedHashMap<>();

    IgnoredItems(Ticker ticker) {
        mTicker = ticker;
    }

    /** Records a state; a later one of the same era does not prolong the time. */
    void put(StoreItem item) {
        Ignored before = mItems.get(item.key());
        boolean sameEra = before != null && before.item().position().isInEraOf(item.position());
        if (sameEra && before.item().position().isAfter(item.position())) {
            return;
        }
        long due = sameEra ? before.dueNanoseconds() : mTicker.nanoTime() + LAPSE_NANOSECONDS;
        mItems.put(item.key(), new Ignored(item, due));
    }

    /** Forgets the state of an item that has changed. */
    void remove(String key) {
        mItems.remove(key);
    }

    /** Forgets the states that a listing at a position does not have. */
    void retain(Set<String> listedKeys, StorePosition position) {
        mItems.values()
                .removeIf(
                        ignored ->
                                !ignored.item().position().isAfter(position)
                                        && !listedKeys.contains(ignored.item().key()));
    }

    /** Returns all states. */
    Collection<StoreItem> items() {
        return mItems.values().stream().map(Ignored::item).toList();
    }

    /** Returns and forgets the states whose writers are alive. */
    List<StoreItem> takeDue() {
        List<StoreItem> due = new ArrayList<>();
        for (Ignored ignored : mItems.values()) {
            if (mTicker.nanoTime() - ignored.dueNanoseconds() >= 0) {
                due.add(ignored.item());
            }
        }
        due.forEach(item -> mItems.remove(item.key()));
        return due;
    }
}
