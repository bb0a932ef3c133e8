package org.foxtailmoor.core.source;

import io.netty.util.concurrent.Ticker;
import java.time.Duration;
import java.util.HashSet;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Schedules the calls that read a store directly, and applies their results to a {@link StoreCopy}.
 * Confined to the control loop.
 */
public final class StoreWatcher {
    /** Size above which a response counts as a large change; bursts of these are coalesced. */
    public static final int LARGE_CHANGE_BYTES = 32_768;

    /** Two large changes within this time form a burst. */
    public static final long BURST_WINDOW_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);

    static final long BASE_BACKOFF_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(60);
    static final long MAX_BACKOFF_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(700);
    private static final int MAX_SHIFT = 10;

    /** Entries do not expire during a shorter outage, so that it needs no recovery grace. */
    static final long MIN_OUTAGE_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Age of the copy above which the store is listed, because a watch returns every version. */
    private static final long MAX_GAP_NANOSECONDS = TimeUnit.SECONDS.toNanos(5);

    /** The same age while large items change in quick succession. */
    private static final long MAX_GAP_IN_BURST_NANOSECONDS = BURST_WINDOW_NANOSECONDS;

    private static final long RECENT_BURST_NANOSECONDS = TimeUnit.SECONDS.toNanos(10);

    /** Call to the store. */
    public sealed interface Call {
        /** Lists the items after a key. */
        record ListAfter(String key) implements Call {}

        /** Waits for changes after a position. */
        record WatchAfter(StorePosition position) implements Call {}
    }

    private final Ticker mTicker;
    private final RandomGenerator mRandom;
    private final StoreCopy mCopy;
    private final long mBurstPauseNanoseconds;
    private Set<String> mListedKeys = new HashSet<>();
    private String mListAfter = "";
    private StorePosition mStorePosition = StorePosition.NONE;
    private boolean mListing;
    private boolean mCallOpen;
    private StorePosition mListPosition = StorePosition.NONE;
    private StorePosition mWatchPosition = StorePosition.NONE;
    private long mListNanoseconds;
    private int mFailures;
    private long mFailingSinceNanoseconds;
    private long mNextCallNanoseconds;
    private boolean mLargeChangeSeen;
    private long mLargeChangeNanoseconds;

    private StoreWatcher(
            Ticker ticker, RandomGenerator random, StoreCopy copy, Duration burstPause) {
        mTicker = Objects.requireNonNull(ticker, "ticker");
        mRandom = Objects.requireNonNull(random, "random");
        mCopy = Objects.requireNonNull(copy, "copy");
        mBurstPauseNanoseconds = burstPause.toNanos();
        mNextCallNanoseconds = ticker.nanoTime();
    }

    /**
     * Creates a watcher.
     *
     * @param ticker clock, not null
     * @param random source of randomness for backoffs, not null
     * @param copy copy that receives the results, not null
     * @param burstPause time without calls after a burst of large changes; must be well below the
     *     time limit for a change to take effect
     */
    public static StoreWatcher of(
            Ticker ticker, RandomGenerator random, StoreCopy copy, Duration burstPause) {
        return new StoreWatcher(ticker, random, copy, burstPause);
    }

    /** Returns whether a call is to be made now. */
    public boolean isDue() {
        return !mCallOpen && mTicker.nanoTime() - mNextCallNanoseconds >= 0;
    }

    /** Returns the call to make now, or null if one is pending or none is due. */
    public Call nextCall() {
        if (!isDue()) {
            return null;
        }
        mCallOpen = true;
        if (!mCopy.isComplete()) {
            mListing = true;
        }
        if (mListing) {
            return new Call.ListAfter(mListAfter);
        }
        mWatchPosition = mCopy.position();
        return new Call.WatchAfter(mWatchPosition);
    }

    /**
     * Applies a page of a listing. A page of an earlier era than the copy's counts as a failure of
     * the store. A listing whose pages belong to different eras is started again.
     *
     * @return whether the page does not count as a failure
     */
    public boolean onPage(ItemStore.Page page) {
        if (isOfEarlierEra(page.position())) {
            onFailure(false);
            return false;
        }
        onSuccess();
        mStorePosition = page.position();
        if (!mListAfter.isEmpty() && !page.position().isInEraOf(mListPosition)) {
            startListing();
            return true;
        }
        if (mListAfter.isEmpty()) {
            mListedKeys = new HashSet<>();
            mListPosition = page.position();
            mListNanoseconds = mTicker.nanoTime();
        }
        for (StoreItem item : page.items()) {
            mListedKeys.add(item.key());
            mListAfter = item.key();
            mCopy.apply(item);
        }
        if (page.more() && !page.items().isEmpty()) {
            return true;
        }
        mListing = false;
        mListAfter = "";
        mCopy.completeListing(mListedKeys, mListPosition, page.position());
        mCopy.confirm(mListNanoseconds);
        return true;
    }

    /**
     * Applies the response to a watch. Changes of an earlier era than the copy's count as a failure
     * of the store. If the store has entered another era since the call, the changes before them in
     * that era are not known, and the items are listed.
     *
     * @return whether the changes do not count as a failure
     */
    public boolean onChanges(ItemStore.Changes changes) {
        if (isOfEarlierEra(changes.position())) {
            onFailure(false);
            return false;
        }
        onSuccess();
        mStorePosition = changes.position();
        if (!changes.position().isInEraOf(mWatchPosition)) {
            if (!changes.position().isInEraOf(mCopy.position())) {
                startListing();
            }
            return true;
        }
        changes.items().forEach(mCopy::apply);
        changes.items().forEach(item -> mCopy.advanceTo(item.position()));
        mCopy.advanceTo(changes.position());
        mCopy.confirm(mTicker.nanoTime());
        if (isLarge(changes)) {
            coalesceBurst();
        }
        return true;
    }

    /**
     * Schedules the next call after a failure.
     *
     * @param historyLost whether the store no longer has the changes after the known position
     */
    public void onFailure(boolean historyLost) {
        mCallOpen = false;
        long ceiling =
                Math.min(
                        BASE_BACKOFF_NANOSECONDS << Math.min(mFailures, MAX_SHIFT),
                        MAX_BACKOFF_NANOSECONDS);
        if (mFailures == 0 || hasHeardOfStoreSince(mFailingSinceNanoseconds)) {
            mFailingSinceNanoseconds = mTicker.nanoTime();
        }
        mFailures++;
        long delay = historyLost ? 0 : ceiling / 2 + mRandom.nextLong(ceiling / 2 + 1);
        mNextCallNanoseconds = mTicker.nanoTime() + delay;
        if (historyLost || mListing) {
            startListing();
        }
    }

    /**
     * Lists the items with the next call if the copy is from before a gap. A watch would return
     * every version of the items since then, a listing returns only the latest one.
     */
    public void listAfterGap() {
        boolean burst = mCopy.largeChangeAge() <= RECENT_BURST_NANOSECONDS;
        long maxGap = burst ? MAX_GAP_IN_BURST_NANOSECONDS : MAX_GAP_NANOSECONDS;
        if (mCopy.isComplete() && mCopy.age() > maxGap && !mCallOpen && !mListing) {
            startListing();
        }
    }

    /** Returns the position that the store stated last. */
    public StorePosition storePosition() {
        return mStorePosition;
    }

    /** Returns whether the last call failed. */
    public boolean isFailing() {
        return mFailures > 0;
    }

    /** Continues with a watch instead of a listing, because the copy was completed by a peer. */
    public void resumeWatching() {
        if (!mCallOpen && mCopy.isComplete()) {
            mListing = false;
            mListAfter = "";
        }
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
            startListing();
        }
    }

    /** Makes the next call the first one of a listing. */
    private void startListing() {
        mListing = true;
        mListAfter = "";
    }

    private boolean isOfEarlierEra(StorePosition position) {
        return mCopy.isComplete() && position.isInEraBefore(mCopy.position());
    }

    private void onSuccess() {
        mCallOpen = false;
        long now = mTicker.nanoTime();
        boolean outage = mFailures > 0 && !hasHeardOfStoreSince(mFailingSinceNanoseconds);
        if (outage && now - mFailingSinceNanoseconds >= MIN_OUTAGE_NANOSECONDS) {
            mCopy.extendRecovery(StoreCopy.RECOVERY_GRACE_NANOSECONDS);
        }
        mFailures = 0;
        mNextCallNanoseconds = now;
    }

    /** Returns whether any node has heard from the store since then, as far as this node knows. */
    private boolean hasHeardOfStoreSince(long nanoseconds) {
        return mTicker.nanoTime() - mCopy.age() - nanoseconds > 0;
    }
}
