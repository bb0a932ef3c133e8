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
 * Decides which call to the store is next, and keeps the items that its answers named. Belongs to
 * the control loop.
 *
 * <p>The revision of an item decides: an answer that is older than what is held changes nothing. An
 * item that is removed stays for a grace, because entries of live targets lapse while the store is
 * away and return soon after it.
 */
public final class StoreFollower {
    /** Time after the store's return in which entries that lapsed meanwhile come back. */
    public static final long RETURN_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(2_200);

    /** Changes of more bytes are large: in quick succession, only the newest of them is read. */
    public static final int LARGE_BYTES = 32_768;

    /** Large changes within this time of each other come in quick succession. */
    public static final long SUCCESSION_NANOSECONDS = TimeUnit.SECONDS.toNanos(2);

    private static final long FIRST_BACKOFF_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(60);
    private static final long LONGEST_BACKOFF_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(700);
    private static final int LARGEST_SHIFT = 10;

    /** Next call to the store. */
    public sealed interface Call {
        /** Lists the items after a key. */
        record ListAfter(String key) implements Call {}

        /** Waits for changes after a revision. */
        record WatchAfter(long revision) implements Call {}
    }

    private final Ticker mTicker;
    private final RandomGenerator mRandom;
    private final long mRemovalGraceNanoseconds;
    private final long mPauseNanoseconds;
    private final Map<String, StoreItem> mItems = new TreeMap<>();
    private final Map<String, Long> mRemovedRevisions = new HashMap<>();
    private final Map<String, Long> mExpiries = new LinkedHashMap<>();
    private final Set<String> mChanged = new HashSet<>();
    private Set<String> mListed = new HashSet<>();
    private String mListAfter = "";
    private boolean mListing = true;
    private boolean mComplete;
    private boolean mCalling;
    private long mListRevision;
    private long mRevision;
    private int mFailures;
    private long mNotBeforeNanoseconds;
    private long mDisturbedUntilNanoseconds;
    private long mHeardNanoseconds;
    private boolean mLargeChangeSeen;
    private long mLargeChangeNanoseconds;

    private StoreFollower(
            Ticker ticker, RandomGenerator random, Duration removalGrace, Duration pause) {
        mTicker = Objects.requireNonNull(ticker, "ticker");
        mRandom = Objects.requireNonNull(random, "random");
        mRemovalGraceNanoseconds = removalGrace.toNanos();
        mPauseNanoseconds = pause.toNanos();
        mNotBeforeNanoseconds = ticker.nanoTime();
        mDisturbedUntilNanoseconds = ticker.nanoTime();
        mHeardNanoseconds = ticker.nanoTime();
    }

    /**
     * Creates a follower that holds nothing.
     *
     * @param ticker clock, not null
     * @param random source of randomness for backoffs, not null
     * @param removalGrace time for which a removed item is still held
     * @param pause time without calls after large changes in quick succession, well below the bound
     *     for a change to be in force
     */
    public static StoreFollower of(
            Ticker ticker, RandomGenerator random, Duration removalGrace, Duration pause) {
        return new StoreFollower(ticker, random, removalGrace, pause);
    }

    /** Returns the call to make now, or null if one is open or none is due. */
    public Call nextCall() {
        if (mCalling || mTicker.nanoTime() - mNotBeforeNanoseconds < 0) {
            return null;
        }
        mCalling = true;
        return mListing ? new Call.ListAfter(mListAfter) : new Call.WatchAfter(mRevision);
    }

    /** Takes a part of a listing. */
    public void onPage(ItemStore.Page page) {
        succeeded();
        if (mListAfter.isEmpty()) {
            mListed = new HashSet<>();
            mListRevision = page.revision();
        }
        for (StoreItem item : page.items()) {
            mListed.add(item.key());
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
            if (older && !mListed.contains(item.key())) {
                expireLater(item.key());
            }
        }
    }

    /** Takes the answer of a watch. */
    public void onChanges(ItemStore.Changes changes) {
        succeeded();
        for (StoreItem item : changes.items()) {
            apply(item);
            mRevision = Math.max(mRevision, item.revision());
        }
        mRevision = Math.max(mRevision, changes.revision());
        if (isLarge(changes)) {
            pauseInSuccession();
        }
    }

    /**
     * Takes the failure of a call.
     *
     * @param historyLost whether the store has no history after the known revision
     */
    public void onFailure(boolean historyLost) {
        mCalling = false;
        long ceiling =
                Math.min(
                        FIRST_BACKOFF_NANOSECONDS << Math.min(mFailures, LARGEST_SHIFT),
                        LONGEST_BACKOFF_NANOSECONDS);
        mFailures++;
        long delay = historyLost ? 0 : ceiling / 2 + mRandom.nextLong(ceiling / 2 + 1);
        mNotBeforeNanoseconds = mTicker.nanoTime() + delay;
        if (historyLost || mListing) {
            mListing = true;
            mListAfter = "";
        }
    }

    /** Removes items whose grace has passed. */
    public void tick() {
        long now = mTicker.nanoTime();
        mExpiries
                .entrySet()
                .removeIf(
                        expiry -> {
                            boolean passed = now - expiry.getValue() >= 0;
                            if (passed) {
                                mItems.remove(expiry.getKey());
                                mChanged.add(expiry.getKey());
                            }
                            return passed;
                        });
    }

    /** Returns the keys that changed since the last call. */
    public Set<String> takeChanged() {
        Set<String> changed = Set.copyOf(mChanged);
        mChanged.clear();
        return changed;
    }

    /** Returns the item with a key, or null if there is none. */
    public StoreItem item(String key) {
        return mItems.get(key);
    }

    /** Returns whether a whole listing has been read. */
    public boolean isComplete() {
        return mComplete;
    }

    /** Returns whether the last call failed. */
    public boolean isFailing() {
        return mFailures > 0;
    }

    /** Returns the time since the store last answered, in nanoseconds. */
    public long silenceNanoseconds() {
        return mTicker.nanoTime() - mHeardNanoseconds;
    }

    private static boolean isLarge(ItemStore.Changes changes) {
        long bytes = 0;
        for (StoreItem item : changes.items()) {
            bytes += item.isRemoved() ? 0 : item.value().size();
        }
        return bytes > LARGE_BYTES;
    }

    /**
     * A watch answers with every version of an item. After large changes in quick succession the
     * next call waits and lists, which gives the newest version only, so that a storm of changes
     * does not fill the links between regions.
     */
    private void pauseInSuccession() {
        long now = mTicker.nanoTime();
        boolean succession =
                mLargeChangeSeen && now - mLargeChangeNanoseconds < SUCCESSION_NANOSECONDS;
        mLargeChangeSeen = true;
        mLargeChangeNanoseconds = now;
        if (succession) {
            mNotBeforeNanoseconds = now + mPauseNanoseconds;
            mListing = true;
            mListAfter = "";
        }
    }

    private void succeeded() {
        long now = mTicker.nanoTime();
        mCalling = false;
        mHeardNanoseconds = now;
        if (mFailures > 0) {
            mDisturbedUntilNanoseconds = now + RETURN_NANOSECONDS;
            // A longer grace also holds for items that were seen to be removed before the return.
            mExpiries.replaceAll((key, expiry) -> later(expiry, mDisturbedUntilNanoseconds));
        }
        mFailures = 0;
        mNotBeforeNanoseconds = now;
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
                expireLater(item.key());
            }
            return;
        }
        mExpiries.remove(item.key());
        mRemovedRevisions.remove(item.key());
        if (held == null || item.revision() > held.revision()) {
            mItems.put(item.key(), item);
            mChanged.add(item.key());
        }
    }

    private void expireLater(String key) {
        long grace = mTicker.nanoTime() + mRemovalGraceNanoseconds;
        mExpiries.putIfAbsent(key, later(grace, mDisturbedUntilNanoseconds));
    }

    /** Returns the later of two ticker times, which may overflow. */
    private static long later(long first, long second) {
        return first - second >= 0 ? first : second;
    }
}
