package org.foxtailmoor.core.source;

import io.netty.util.concurrent.Ticker;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Keeps a local copy of a store by listing and watching it, and schedules these calls. Confined to
 * the control loop.
 *
 * <p>Changes are ordered by the revision of each item; responses with older revisions are ignored.
 * A removed item is kept for a grace period, because entries of live targets expire while the store
 * is unavailable and are written again soon after it recovers.
 */
public final class StoreWatcher {
    /**
     * Time after the store recovers for which missing items are kept. Live targets write the
     * entries that expired during the outage again within this time.
     */
    public static final long RECOVERY_GRACE_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(2_200);

    /** Size above which a response counts as a large change; bursts of these are coalesced. */
    public static final int LARGE_CHANGE_BYTES = 32_768;

    /** Two large changes within this time form a burst. */
    public static final long BURST_WINDOW_NANOSECONDS = TimeUnit.SECONDS.toNanos(2);

    private static final long BASE_BACKOFF_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(60);
    private static final long MAX_BACKOFF_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(700);
    private static final int MAX_SHIFT = 10;

    /** Call to the store. */
    public sealed interface Call {
        /** Lists the items after a key. */
        record ListAfter(String key) implements Call {}

        /** Waits for changes after a revision. */
        record WatchAfter(long revision) implements Call {}
    }

    private final Ticker mTicker;
    private final RandomGenerator mRandom;
    private final long mRemovalGraceNanoseconds;
    private final long mBurstPauseNanoseconds;
    private final Map<String, StoreItem> mItems = new TreeMap<>();
    private final Map<String, Long> mRemovedRevisions = new HashMap<>();
    private final Map<String, Long> mExpiryTimes = new LinkedHashMap<>();
    private final Set<String> mChangedKeys = new HashSet<>();
    private Set<String> mListedKeys = new HashSet<>();
    private String mListAfter = "";
    private boolean mListing = true;
    private boolean mComplete;
    private boolean mCallOpen;
    private long mListRevision;
    private long mRevision;
    private int mFailures;
    private long mNextCallNanoseconds;
    private long mRecoveryEndNanoseconds;
    private long mLastResponseNanoseconds;
    private boolean mLargeChangeSeen;
    private long mLargeChangeNanoseconds;

    private StoreWatcher(
            Ticker ticker, RandomGenerator random, Duration removalGrace, Duration burstPause) {
        mTicker = Objects.requireNonNull(ticker, "ticker");
        mRandom = Objects.requireNonNull(random, "random");
        mRemovalGraceNanoseconds = removalGrace.toNanos();
        mBurstPauseNanoseconds = burstPause.toNanos();
        mNextCallNanoseconds = ticker.nanoTime();
        mRecoveryEndNanoseconds = ticker.nanoTime();
        mLastResponseNanoseconds = ticker.nanoTime();
    }

    /**
     * Creates a watcher without items.
     *
     * @param ticker clock, not null
     * @param random source of randomness for backoffs, not null
     * @param removalGrace time for which a removed item is kept
     * @param burstPause time without calls after a burst of large changes; must be well below the
     *     time limit for a change to take effect
     */
    public static StoreWatcher of(
            Ticker ticker, RandomGenerator random, Duration removalGrace, Duration burstPause) {
        return new StoreWatcher(ticker, random, removalGrace, burstPause);
    }

    /** Returns the call to make now, or null if one is pending or none is due. */
    public Call nextCall() {
        if (mCallOpen || mTicker.nanoTime() - mNextCallNanoseconds < 0) {
            return null;
        }
        mCallOpen = true;
        return mListing ? new Call.ListAfter(mListAfter) : new Call.WatchAfter(mRevision);
    }

    /** Applies a page of a listing. */
    public void onPage(ItemStore.Page page) {
        onSuccess();
        if (mListAfter.isEmpty()) {
            mListedKeys = new HashSet<>();
            mListRevision = page.revision();
        }
        for (StoreItem item : page.items()) {
            mListedKeys.add(item.key());
            mListAfter = item.key();
            apply(item);
        }
        if (page.more() && !page.items().isEmpty()) {
            return;
        }
        mListing = false;
        mListAfter = "";
        mComplete = true;
        mRevision = Math.max(mRevision, mListRevision);
        for (StoreItem item : mItems.values()) {
            boolean older = item.revision() <= mListRevision;
            if (older && !mListedKeys.contains(item.key())) {
                scheduleExpiry(item.key());
            }
        }
    }

    /** Applies the response to a watch. */
    public void onChanges(ItemStore.Changes changes) {
        onSuccess();
        for (StoreItem item : changes.items()) {
            apply(item);
            mRevision = Math.max(mRevision, item.revision());
        }
        mRevision = Math.max(mRevision, changes.revision());
        if (isLarge(changes)) {
            coalesceBurst();
        }
    }

    /**
     * Schedules the next call after a failure.
     *
     * @param historyLost whether the store no longer has the changes after the known revision
     */
    public void onFailure(boolean historyLost) {
        mCallOpen = false;
        long ceiling =
                Math.min(
                        BASE_BACKOFF_NANOSECONDS << Math.min(mFailures, MAX_SHIFT),
                        MAX_BACKOFF_NANOSECONDS);
        mFailures++;
        long delay = historyLost ? 0 : ceiling / 2 + mRandom.nextLong(ceiling / 2 + 1);
        mNextCallNanoseconds = mTicker.nanoTime() + delay;
        if (historyLost || mListing) {
            mListing = true;
            mListAfter = "";
        }
    }

    /** Removes items whose grace period has ended. */
    public void tick() {
        long now = mTicker.nanoTime();
        mExpiryTimes
                .entrySet()
                .removeIf(
                        expiry -> {
                            boolean passed = now - expiry.getValue() >= 0;
                            if (passed) {
                                mItems.remove(expiry.getKey());
                                mChangedKeys.add(expiry.getKey());
                            }
                            return passed;
                        });
    }

    /** Returns and clears the keys that changed since the last call. */
    public Set<String> takeChangedKeys() {
        Set<String> changed = Set.copyOf(mChangedKeys);
        mChangedKeys.clear();
        return changed;
    }

    /** Returns the item with a key, or null if absent. */
    public StoreItem item(String key) {
        return mItems.get(key);
    }

    /** Returns whether a complete listing has been read. */
    public boolean isComplete() {
        return mComplete;
    }

    /** Returns whether the last call failed. */
    public boolean isFailing() {
        return mFailures > 0;
    }

    /** Returns the time since the last response of the store. */
    public long nanosecondsSinceLastResponse() {
        return mTicker.nanoTime() - mLastResponseNanoseconds;
    }

    private static boolean isLarge(ItemStore.Changes changes) {
        long bytes = 0;
        for (StoreItem item : changes.items()) {
            bytes += item.isRemoved() ? 0 : item.value().size();
        }
        return bytes > LARGE_CHANGE_BYTES;
    }

    /**
     * Delays the next call during a burst and replaces the watch by a listing. A watch returns
     * every version of an item, a listing only the latest one; a burst of large changes would
     * otherwise saturate the links between regions.
     */
    private void coalesceBurst() {
        long now = mTicker.nanoTime();
        boolean succession =
                mLargeChangeSeen && now - mLargeChangeNanoseconds < BURST_WINDOW_NANOSECONDS;
        mLargeChangeSeen = true;
        mLargeChangeNanoseconds = now;
        if (succession) {
            mNextCallNanoseconds = now + mBurstPauseNanoseconds;
            mListing = true;
            mListAfter = "";
        }
    }

    private void onSuccess() {
        long now = mTicker.nanoTime();
        mCallOpen = false;
        mLastResponseNanoseconds = now;
        if (mFailures > 0) {
            mRecoveryEndNanoseconds = now + RECOVERY_GRACE_NANOSECONDS;
            // The recovery grace also applies to items that were removed before the store
            // recovered.
            mExpiryTimes.replaceAll((key, expiry) -> later(expiry, mRecoveryEndNanoseconds));
        }
        mFailures = 0;
        mNextCallNanoseconds = now;
    }

    private void apply(StoreItem item) {
        StoreItem held = mItems.get(item.key());
        long known =
                Math.max(
                        held == null ? 0 : held.revision(),
                        mRemovedRevisions.getOrDefault(item.key(), 0L));
        if (item.revision() < known) {
            return;
        }
        if (item.isRemoved()) {
            mRemovedRevisions.put(item.key(), item.revision());
            if (held != null) {
                scheduleExpiry(item.key());
            }
            return;
        }
        mExpiryTimes.remove(item.key());
        mRemovedRevisions.remove(item.key());
        if (held == null || item.revision() > held.revision()) {
            mItems.put(item.key(), item);
            mChangedKeys.add(item.key());
        }
    }

    private void scheduleExpiry(String key) {
        long grace = mTicker.nanoTime() + mRemovalGraceNanoseconds;
        mExpiryTimes.putIfAbsent(key, later(grace, mRecoveryEndNanoseconds));
    }

    /** Returns the later of two ticker times; comparing the difference tolerates overflow. */
    private static long later(long first, long second) {
        return first - second >= 0 ? first : second;
    }
}
