package org.foxtailmoor.core.source;

import io.netty.util.concurrent.Ticker;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Local copy of a store, built from listings and changes that come from the store or from other
 * nodes in any order. Confined to the control loop.
 *
 * <p>Changes are ordered by the revision of each item; older revisions are ignored. A removed item
 * is kept for a grace period, because entries of live targets expire while the store is unavailable
 * and are written again soon after it recovers.
 */
public final class StoreCopy {
    /**
     * Time after the store recovers for which missing items are kept. Live targets write the
     * entries that expired during the outage again within this time.
     */
    public static final long RECOVERY_GRACE_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(2_200);

    /** Number of removals that are remembered to pass them on. */
    static final int MAX_REMOVALS = 4_096;

    private final Ticker mTicker;
    private final long mRemovalGraceNanoseconds;
    private final Map<String, StoreItem> mItems = new TreeMap<>();
    private final EarlierValues mEarlierValues = new EarlierValues();
    private final LinkedHashMap<String, Long> mRemovedRevisions = new LinkedHashMap<>();
    private final Map<String, Long> mExpiryTimes = new LinkedHashMap<>();
    private final Set<String> mChangedKeys = new HashSet<>();
    private long mForgottenRevision;
    private StoreItemBatch.Skipped mSkipped = StoreItemBatch.Skipped.NONE;
    private long mRevision;
    private boolean mComplete;
    private long mRecoveryEndNanoseconds;
    private boolean mConfirmed;
    private long mConfirmedNanoseconds;
    private boolean mLargeChangeSeen;
    private long mLargeChangeNanoseconds;

    private StoreCopy(Ticker ticker, Duration removalGrace) {
        mTicker = Objects.requireNonNull(ticker, "ticker");
        mRemovalGraceNanoseconds = removalGrace.toNanos();
        mRecoveryEndNanoseconds = ticker.nanoTime();
        mConfirmedNanoseconds = ticker.nanoTime();
    }

    /**
     * Creates a copy without items.
     *
     * @param ticker clock, not null
     * @param removalGrace time for which a removed item is kept
     */
    public static StoreCopy of(Ticker ticker, Duration removalGrace) {
        return new StoreCopy(ticker, removalGrace);
    }

    /** Applies the state of one item. */
    public void apply(StoreItem item) {
        StoreItem held = mItems.get(item.key());
        long known =
                Math.max(
                        held == null ? 0 : held.revision(),
                        mRemovedRevisions.getOrDefault(item.key(), 0L));
        if (item.revision() < known) {
            return;
        }
        if (mComplete && held == null && item.revision() <= mRevision) {
            // A complete copy has every item up to its revision, so that this one was removed.
            return;
        }
        if (item.isRemoved()) {
            remove(item.key(), item.revision());
            return;
        }
        mExpiryTimes.remove(item.key());
        mRemovedRevisions.remove(item.key());
        if (held == null || item.revision() > held.revision()) {
            keepEarlierValue(held);
            mItems.put(item.key(), item);
            mChangedKeys.add(item.key());
        }
    }

    /** Records that all changes up to a revision have been applied. */
    public void advanceTo(long revision) {
        mRevision = Math.max(mRevision, revision);
    }

    /**
     * Records the end of a listing whose items have been applied. Items that are not in the listing
     * were removed.
     *
     * @param listedKeys keys of the listing
     * @param revision revision of the store at the first page
     */
    public void completeListing(Set<String> listedKeys, long revision) {
        boolean first = !mComplete;
        recordGap(revision);
        mComplete = true;
        advanceTo(revision);
        List<String> missing = new ArrayList<>();
        for (StoreItem item : mItems.values()) {
            if (item.revision() <= revision && !listedKeys.contains(item.key())) {
                missing.add(item.key());
            }
        }
        if (first) {
            // They come from an outdated listing and may have been removed long ago.
            missing.forEach(this::forget);
        } else {
            missing.forEach(key -> remove(key, revision));
        }
    }

    /** Records that the copy was as new as the store at a time of the clock. */
    public void confirm(long nanoseconds) {
        if (!mConfirmed || nanoseconds - mConfirmedNanoseconds > 0) {
            mConfirmedNanoseconds = nanoseconds;
        }
        mConfirmed = true;
    }

    /** Returns the age of the copy in nanoseconds, or the largest value before the first answer. */
    public long age() {
        return mConfirmed ? mTicker.nanoTime() - mConfirmedNanoseconds : Long.MAX_VALUE;
    }

    /** Returns the time in nanoseconds since a large item changed, or the largest value. */
    public long largeChangeAge() {
        return mLargeChangeSeen ? mTicker.nanoTime() - mLargeChangeNanoseconds : Long.MAX_VALUE;
    }

    /**
     * Applies a batch of another node. The items of a complete batch that is older than this copy
     * are ignored, because some of them may have been removed without this copy seeing it. Any
     * other batch has every item that was written last in the skipped revisions and still exists.
     */
    public void apply(StoreItemBatch batch) {
        extendRecovery(Math.min(batch.recoveryGrace().toNanos(), RECOVERY_GRACE_NANOSECONDS));
        if (mComplete && batch.complete() && batch.revision() < mRevision) {
            return;
        }
        Set<String> keys = new HashSet<>();
        for (StoreItem item : batch.items()) {
            if (!item.isRemoved()) {
                keys.add(item.key());
            }
            apply(item);
        }
        if (batch.complete()) {
            completeListing(keys, batch.revision());
        } else {
            removeSkipped(batch.skipped(), keys);
            if (batch.skipped().before() > mRevision) {
                skip(batch.skipped());
            }
            advanceTo(batch.revision());
        }
    }

    /** Keeps removed items for at least a time from now, because the store has just recovered. */
    public void extendRecovery(long nanoseconds) {
        if (nanoseconds <= 0) {
            return;
        }
        mRecoveryEndNanoseconds = later(mRecoveryEndNanoseconds, mTicker.nanoTime() + nanoseconds);
        mExpiryTimes.replaceAll((key, expiry) -> later(expiry, mRecoveryEndNanoseconds));
    }

    /**
     * Returns what has changed after a revision, or every item if the removals after it are no
     * longer known.
     *
     * @param revision revision up to which the receiver is complete, 0 for none
     */
    public StoreItemBatch batchAfter(long revision) {
        boolean complete =
                revision <= 0 || revision < mForgottenRevision || mSkipped.contains(revision);
        List<StoreItem> items = new ArrayList<>();
        for (StoreItem item : mItems.values()) {
            if ((complete || item.revision() > revision) && !mExpiryTimes.containsKey(item.key())) {
                items.add(item);
            }
        }
        if (!complete) {
            mRemovedRevisions.forEach(
                    (key, removed) -> {
                        if (removed > revision) {
                            items.add(StoreItem.removed(key, removed));
                        }
                    });
        }
        long recovery = Math.max(0, mRecoveryEndNanoseconds - mTicker.nanoTime());
        return new StoreItemBatch(
                items,
                mRevision,
                complete,
                Duration.ofMillis(TimeUnit.NANOSECONDS.toMillis(recovery)),
                complete || mSkipped.before() <= revision ? StoreItemBatch.Skipped.NONE : mSkipped);
    }

    /**
     * Returns the value of an item at a revision, or null if it is no longer known. Only the values
     * of large items are kept after a change.
     */
    public StoreItem valueAt(String key, long revision) {
        return mEarlierValues.at(key, revision);
    }

    /**
     * Returns the version of an item with exactly a revision, or null if it is no longer known; see
     * {@link #valueAt}.
     */
    public StoreItem versionOf(String key, long revision) {
        StoreItem held = mItems.get(key);
        if (held != null && held.revision() == revision) {
            return held;
        }
        StoreItem earlier = valueAt(key, revision);
        return earlier != null && earlier.revision() == revision ? earlier : null;
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
                                forget(expiry.getKey());
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

    /** Returns whether every item of the store has been read once. */
    public boolean isComplete() {
        return mComplete;
    }

    /** Returns the revision up to which all changes have been applied. */
    public long revision() {
        return mRevision;
    }

    /**
     * Records the revisions that a listing skips. A receiver that is complete up to one of them may
     * hold an item that was written and removed in between, whose removal this copy never saw. Only
     * the last gap is kept; what lies before the end of an earlier one counts as forgotten.
     */
    private void recordGap(long revision) {
        if (!mComplete) {
            mForgottenRevision = Math.max(mForgottenRevision, revision);
        } else if (revision > mRevision) {
            skip(new StoreItemBatch.Skipped(mRevision, revision));
        }
    }

    private void removeSkipped(StoreItemBatch.Skipped skipped, Set<String> existingKeys) {
        List<String> missing = new ArrayList<>();
        for (StoreItem item : mItems.values()) {
            if (skipped.contains(item.revision()) && !existingKeys.contains(item.key())) {
                missing.add(item.key());
            }
        }
        missing.forEach(key -> remove(key, skipped.before()));
    }

    private void skip(StoreItemBatch.Skipped skipped) {
        if (!skipped.equals(mSkipped)) {
            mForgottenRevision = Math.max(mForgottenRevision, mSkipped.before());
            mSkipped = skipped;
        }
    }

    private void keepEarlierValue(StoreItem item) {
        if (item != null && EarlierValues.isLarge(item)) {
            mLargeChangeSeen = true;
            mLargeChangeNanoseconds = mTicker.nanoTime();
            mEarlierValues.add(item);
        }
    }

    private void forget(String key) {
        mItems.remove(key);
        mEarlierValues.forget(key);
        mChangedKeys.add(key);
    }

    private void remove(String key, long revision) {
        mRemovedRevisions.remove(key);
        mRemovedRevisions.put(key, revision);
        if (mRemovedRevisions.size() > MAX_REMOVALS) {
            Iterator<Long> oldest = mRemovedRevisions.values().iterator();
            mForgottenRevision = Math.max(mForgottenRevision, oldest.next());
            oldest.remove();
        }
        if (mItems.containsKey(key)) {
            // The item was still there at the last confirmation; a late notice shortens the grace.
            long grace = mConfirmedNanoseconds + mRemovalGraceNanoseconds;
            mExpiryTimes.putIfAbsent(key, later(grace, mRecoveryEndNanoseconds));
        }
    }

    /** Returns the later of two ticker times; comparing the difference tolerates overflow. */
    private static long later(long first, long second) {
        return first - second >= 0 ? first : second;
    }
}
