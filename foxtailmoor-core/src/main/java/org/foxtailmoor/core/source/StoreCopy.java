package org.foxtailmoor.core.source;

import io.netty.util.concurrent.Ticker;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
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
 * <p>The states of an item are ordered as {@link ItemOrder} says; older ones are ignored. A removed
 * item is kept for a grace period, because entries of live targets expire while the store is
 * unavailable and are written again soon after it recovers.
 *
 * <p>A store that comes back from an older copy begins a new era. The copy enters it with a
 * complete listing, of the store or of another node, and stays in use until then. Items that the
 * new era lacks are kept for the grace period; states that are older than known ones are ignored
 * until their writers have written again.
 */
public final class StoreCopy {
    /**
     * Time after the store recovers for which missing items are kept. Live targets write the
     * entries that expired during the outage again within this time.
     */
    public static final long RECOVERY_GRACE_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(2_200);

    private final Ticker mTicker;
    private final long mRemovalGraceNanoseconds;
    private final ItemOrder mOrder;
    private final ItemRemovals mRemovals;
    private final IgnoredItems mIgnored;
    private final Map<String, StoreItem> mItems = new TreeMap<>();
    private final EarlierValues mEarlierValues = new EarlierValues();
    private final Map<String, Long> mExpiryTimes = new LinkedHashMap<>();
    private final Set<String> mChangedKeys = new HashSet<>();
    private StorePosition mForgotten = StorePosition.NONE;
    private StoreItemBatch.Skipped mSkipped = StoreItemBatch.Skipped.NONE;
    private StorePosition mPosition = StorePosition.NONE;

    /** Position of the last page of a listing, up to which removals may be unknown. */
    private StorePosition mListingEnd = StorePosition.NONE;

    private EraChange mEraChange;
    private long mEraChanges;
    private boolean mComplete;
    private long mRecoveryEndNanoseconds;
    private boolean mConfirmed;
    private long mConfirmedNanoseconds;
    private boolean mLargeChangeSeen;
    private long mLargeChangeNanoseconds;

    private StoreCopy(Ticker ticker, Duration removalGrace, ItemOrder order) {
        mTicker = Objects.requireNonNull(ticker, "ticker");
        mOrder = Objects.requireNonNull(order, "order");
        mRemovals = new ItemRemovals(order);
        mIgnored = new IgnoredItems(ticker);
        mRemovalGraceNanoseconds = removalGrace.toNanos();
        mRecoveryEndNanoseconds = ticker.nanoTime();
        mConfirmedNanoseconds = ticker.nanoTime();
    }

    /**
     * Creates a copy without items.
     *
     * @param ticker clock, not null
     * @param removalGrace time for which a removed item is kept
     * @param order order of the states of an item, not null
     */
    public static StoreCopy of(Ticker ticker, Duration removalGrace, ItemOrder order) {
        return new StoreCopy(ticker, removalGrace, order);
    }

    /** Applies the state of one item. */
    public void apply(StoreItem item) {
        StoreItem held = mItems.get(item.key());
        if (isOutdated(item, held)) {
            boolean laterEra =
                    held == null
                            ? mRemovals.isInEraBefore(item)
                            : held.position().isInEraBefore(item.position());
            if (laterEra) {
                ignore(item);
            }
            return;
        }
        if (item.isRemoved()) {
            mIgnored.remove(item.key());
            remove(item.key(), item.position(), held);
            return;
        }
        use(item, held);
    }

    private void use(StoreItem item, StoreItem held) {
        mIgnored.remove(item.key());
        mExpiryTimes.remove(item.key());
        mRemovals.forget(item.key());
        if (held == null || !item.position().equals(held.position())) {
            keepEarlierValue(held, item);
            mItems.put(item.key(), item);
            mChangedKeys.add(item.key());
        }
    }

    /** Keeps a state of the store aside until it is known whether its writer is alive. */
    private void ignore(StoreItem item) {
        StoreItem held = mItems.get(item.key());
        boolean later = held == null || item.position().isAfter(held.position());
        if (later && !item.isRemoved() && !mOrder.isLasting(item.key())) {
            mIgnored.put(item);
        }
    }

    /**
     * Records that all changes up to a position have been applied. A position of another era is
     * ignored, because the changes of that era before it are not known.
     */
    public void advanceTo(StorePosition position) {
        if (position.isInEraOf(mPosition)) {
            mPosition = StorePosition.later(mPosition, position);
        }
    }

    /**
     * Records the end of a listing whose items have been applied. Items that are not in the listing
     * were removed. A listing of an earlier era than the copy's is ignored.
     *
     * @param listedKeys keys of the listing
     * @param position position of the store at the first page
     * @param lastPosition position of the store at the last page, of the same era
     */
    public void completeListing(
            Set<String> listedKeys, StorePosition position, StorePosition lastPosition) {
        if (mComplete && position.isInEraBefore(mPosition)) {
            return;
        }
        if (mComplete && mPosition.isInEraBefore(position)) {
            extendRecoveryOfMissingItems(RECOVERY_GRACE_NANOSECONDS);
        }
        complete(listedKeys, position);
        mListingEnd = lastPosition;
    }

    /** Records a complete state of the store. */
    private void complete(Set<String> listedKeys, StorePosition position) {
        boolean first = !mComplete;
        StorePosition before = mPosition;
        boolean newEra = !first && before.isInEraBefore(position);
        recordGap(position, newEra);
        mComplete = true;
        mPosition = StorePosition.later(mPosition, position);
        mIgnored.retain(listedKeys, position);
        List<String> missing = new ArrayList<>();
        for (StoreItem item : mItems.values()) {
            if (!item.position().isAfter(position) && !listedKeys.contains(item.key())) {
                missing.add(item.key());
            }
        }
        if (first) {
            // They come from an outdated listing and may have been removed long ago.
            missing.forEach(this::forget);
        } else {
            // An item that a new era lacks did not leave; its writer may repeat the same version.
            missing.forEach(key -> remove(key, position, newEra ? null : mItems.get(key)));
        }
        if (newEra) {
            recordEraChange(before, listedKeys, missing.size());
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
     * other batch has every item that was written last in the skipped positions and still exists.
     *
     * <p>A batch of an earlier era than the copy's, and changes of a later one, do not make the
     * copy newer. An older batch still brings the states of earlier eras whose writers state a
     * later version than that of the held state.
     *
     * @return whether the copy is now at least as new as the batch, and of the same era
     */
    public boolean apply(StoreItemBatch batch) {
        if (mComplete && batch.position().isInEraBefore(mPosition)) {
            applyItemsOfEarlierEras(batch);
            return false;
        }
        if (mComplete && !batch.complete() && mPosition.isInEraBefore(batch.position())) {
            return false;
        }
        long grace = Math.min(batch.recoveryGrace().toNanos(), RECOVERY_GRACE_NANOSECONDS);
        if (mComplete && mPosition.isInEraBefore(batch.position())) {
            extendRecoveryOfMissingItems(grace);
        } else {
            extendRecovery(grace);
        }
        if (mComplete && batch.complete() && mPosition.isAfter(batch.position())) {
            applyItemsOfEarlierEras(batch);
            return true;
        }
        Set<String> keys = new HashSet<>();
        for (StoreItem item : batch.items()) {
            if (!item.isRemoved()) {
                keys.add(item.key());
            }
            apply(item);
        }
        for (StoreItem item : batch.ignored()) {
            keys.add(item.key());
            ignore(item);
        }
        if (batch.complete()) {
            complete(keys, batch.position());
        } else {
            removeSkipped(batch.skipped(), keys);
            if (batch.skipped().before().isAfter(mPosition)) {
                skip(batch.skipped());
            }
            advanceTo(batch.position());
        }
        return true;
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
     * Returns what has changed after a position, or every item if that position belongs to an
     * earlier era or the removals after it are no longer known.
     *
     * @param after position up to which the receiver is complete, {@link StorePosition#NONE} if it
     *     has no items
     */
    public StoreItemBatch batchAfter(StorePosition after) {
        boolean complete =
                after.equals(StorePosition.NONE)
                        || after.isInEraBefore(mPosition)
                        || mForgotten.isAfter(after)
                        || mSkipped.contains(after);
        List<StoreItem> items = new ArrayList<>();
        for (StoreItem item : mItems.values()) {
            if ((complete || item.position().isAfter(after))
                    && !mExpiryTimes.containsKey(item.key())) {
                items.add(item);
            }
        }
        if (!complete) {
            mRemovals.forEachAfter(after, items::add);
        }
        return new StoreItemBatch(
                items,
                mPosition,
                complete,
                recoveryGrace(),
                complete || !mSkipped.before().isAfter(after)
                        ? StoreItemBatch.Skipped.NONE
                        : mSkipped,
                mIgnored.items().stream()
                        .filter(item -> complete || item.position().isAfter(after))
                        .toList());
    }

    /** Returns the remaining time for which missing items are kept, in milliseconds. */
    public Duration recoveryGrace() {
        long recovery = Math.max(0, mRecoveryEndNanoseconds - mTicker.nanoTime());
        return Duration.ofMillis(TimeUnit.NANOSECONDS.toMillis(recovery));
    }

    /**
     * Returns the value of an item at a position, or null if it is no longer known. Only the values
     * of large items are kept after a change.
     */
    public StoreItem valueAt(String key, StorePosition position) {
        return mEarlierValues.at(key, position);
    }

    /**
     * Returns the state of an item with exactly a position, or null if it is no longer known; see
     * {@link #valueAt}.
     */
    public StoreItem stateOf(String key, StorePosition position) {
        StoreItem held = mItems.get(key);
        if (held != null && held.position().equals(position)) {
            return held;
        }
        StoreItem earlier = valueAt(key, position);
        return earlier != null && earlier.position().equals(position) ? earlier : null;
    }

    /** Removes items whose grace period has ended, and uses ignored ones whose writers live. */
    public void tick() {
        mIgnored.takeDue().forEach(item -> use(item, mItems.get(item.key())));
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

    /** Returns the position up to which all changes have been applied. */
    public StorePosition position() {
        return mPosition;
    }

    /** Returns the number of changes to another era. */
    public long eraChanges() {
        return mEraChanges;
    }

    /** Returns the last change to another era and clears it, or returns null if there is none. */
    public EraChange takeEraChange() {
        EraChange change = mEraChange;
        mEraChange = null;
        return change;
    }

    private boolean isOutdated(StoreItem item, StoreItem held) {
        if (held == null && mComplete && !item.position().isAfter(mPosition)) {
            // A complete copy has every item up to its position, so that this one was removed.
            return true;
        }
        return held != null && mOrder.isOlder(item, held) || mRemovals.includes(item);
    }

    private void applyItemsOfEarlierEras(StoreItemBatch batch) {
        for (StoreItem item : batch.items()) {
            if (!item.isRemoved() && item.position().isInEraBefore(mPosition)) {
                apply(item);
            }
        }
    }

    /**
     * Keeps the items that a new era lacks until their writers have had time to write again. Items
     * that were removed before are not kept longer.
     */
    private void extendRecoveryOfMissingItems(long nanoseconds) {
        long end = mTicker.nanoTime() + nanoseconds;
        mRecoveryEndNanoseconds = later(mRecoveryEndNanoseconds, end);
    }

    private void recordEraChange(StorePosition from, Set<String> listedKeys, int awaited) {
        int kept = 0;
        for (String key : listedKeys) {
            StoreItem item = mItems.get(key);
            kept += item != null && item.position().isInEraOf(mPosition) ? 1 : 0;
        }
        mEraChanges++;
        mEraChange = new EraChange(from, mPosition, kept, awaited, listedKeys.size() - kept);
    }

    /**
     * Records the positions that a listing skips. A receiver that is complete up to one of them may
     * hold an item that was written and removed in between, whose removal this copy never saw. Only
     * the last gap is kept; what lies before the end of an earlier one counts as forgotten. So does
     * a gap that begins within a listing: its later pages may lack items that were removed after
     * its first one, and these removals would have followed.
     */
    private void recordGap(StorePosition position, boolean newEra) {
        boolean withinListing = mListingEnd.isAfter(mPosition) && position.isAfter(mPosition);
        if (!mComplete || newEra || withinListing) {
            mForgotten = StorePosition.later(mForgotten, position);
            mSkipped = StoreItemBatch.Skipped.NONE;
        } else if (position.isAfter(mPosition)) {
            skip(new StoreItemBatch.Skipped(mPosition, position));
        }
    }

    private void removeSkipped(StoreItemBatch.Skipped skipped, Set<String> existingKeys) {
        List<String> missing = new ArrayList<>();
        for (StoreItem item : mItems.values()) {
            if (skipped.contains(item.position()) && !existingKeys.contains(item.key())) {
                missing.add(item.key());
            }
        }
        missing.forEach(key -> remove(key, skipped.before(), mItems.get(key)));
    }

    private void skip(StoreItemBatch.Skipped skipped) {
        if (!skipped.equals(mSkipped)) {
            mForgotten = StorePosition.later(mForgotten, mSkipped.before());
            mSkipped = skipped;
        }
    }

    private void keepEarlierValue(StoreItem held, StoreItem item) {
        boolean large = held != null && EarlierValues.isLarge(held);
        boolean sameEra = large && held.position().isInEraOf(item.position());
        if (large && (sameEra || !held.value().equals(item.value()))) {
            mLargeChangeSeen = true;
            mLargeChangeNanoseconds = mTicker.nanoTime();
            mEarlierValues.add(held);
        }
    }

    private void forget(String key) {
        mItems.remove(key);
        mEarlierValues.forget(key);
        mChangedKeys.add(key);
    }

    private void remove(String key, StorePosition position, StoreItem held) {
        StorePosition forgotten = mRemovals.add(key, position, held);
        mForgotten = StorePosition.later(mForgotten, forgotten);
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
