package org.foxtailmoor.core.source;

import io.netty.util.concurrent.Ticker;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.foxtailmoor.protocol.generated.Instance;

/**
 * Keeps a {@link StoreCopy} up to date by reading the store or other nodes, and decides which of
 * them to read next. Confined to the control loop.
 *
 * <p>Every copy knows its age: the time since a direct reader last heard from the store. A source
 * whose copy is older than the limit is replaced by the next one of the {@link ReadOrder}, and in
 * the end by the store itself. Age is passed on with the items, so that nodes which read from each
 * other in a circle also notice that they hear nothing new.
 */
public final class StoreReplica {
    /** Time for which a peer that did not respond is not asked again. */
    static final long FAILED_PEER_NANOSECONDS = TimeUnit.SECONDS.toNanos(10);

    /** Time for which a peer that does not have all items yet is not asked again. */
    static final long INCOMPLETE_PEER_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(200);

    /** Shortest use of another source before the first one is tried again. */
    private static final long MIN_DETOUR_NANOSECONDS = TimeUnit.SECONDS.toNanos(3);

    private static final long DETOUR_JITTER_NANOSECONDS = TimeUnit.SECONDS.toNanos(2);

    /**
     * Delay for each rank before a node whose peers are outdated reads the store, so that most
     * nodes have the items from the first ones that do.
     */
    private static final long DIRECT_DELAY_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(100);

    private static final int MAX_DELAYED_RANK = 6;

    private static final long DIRECT_JITTER_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(50);

    /** Time that the peers of a node without items have before it reads the store. */
    private static final long COLD_DELAY_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);

    /**
     * The same time for a node that is not in the listing. When the whole fleet starts, the targets
     * register during the first seconds.
     */
    private static final long UNLISTED_DELAY_NANOSECONDS = TimeUnit.SECONDS.toNanos(4);

    private static final long COLD_DELAY_PER_RANK_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(50);

    /** Pause for each known node after which a node reads again; limits the calls of the fleet. */
    private static final long PAUSE_PER_NODE_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(10);

    private static final long FIND_PEERS_PAUSE_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(200);

    /**
     * Time after which a node without items looks for peers again. When the whole fleet starts, the
     * first listings have few instances or none.
     */
    private static final long FIND_PEERS_AGAIN_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(700);

    private static final long MIN_DIRECT_PAUSE_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);

    /** Call that the node makes. */
    public sealed interface Call {
        /** Reads the first page of the instances from the store. */
        record FindPeers() implements Call {}

        /** Reads the store. */
        record ReadStore(StoreWatcher.Call call) implements Call {}

        /**
         * Waits for changes at another node.
         *
         * @param host host of the node
         * @param afterRevision revision up to which the copy is complete, 0 to read every item
         */
        record ReadPeer(String host, long afterRevision) implements Call {}
    }

    private final Ticker mTicker;
    private final RandomGenerator mRandom;
    private final String mHost;
    private final String mRegion;
    private final StoreCopy mCopy;
    private final StoreWatcher mWatcher;
    private final long mMaxAgeNanoseconds;
    private final Map<String, Long> mAvoidedPeers = new HashMap<>();
    private ReadOrder mOrder = new ReadOrder(0, false, List.of(), 1);
    private Call mOpenCall;
    private boolean mPeersFound;
    private boolean mReadAll;
    private int mSource;
    private long mFirstSourceNanoseconds;
    private boolean mDirectDelayed;
    private long mDirectNanoseconds;
    private long mPeersFoundNanoseconds;
    private long mFindPeersNanoseconds;

    private StoreReplica(Builder builder) {
        mTicker = Objects.requireNonNull(builder.mTicker, "ticker");
        mRandom = Objects.requireNonNull(builder.mRandom, "random");
        mHost = Objects.requireNonNull(builder.mHost, "host");
        mRegion = Objects.requireNonNull(builder.mRegion, "region");
        mCopy = StoreCopy.of(mTicker, builder.mRemovalGrace);
        mWatcher = StoreWatcher.of(mTicker, mRandom, mCopy, builder.mBurstPause);
        mMaxAgeNanoseconds = builder.mMaxAge.toNanos();
        mFindPeersNanoseconds = mTicker.nanoTime();
        mDirectNanoseconds = mTicker.nanoTime();
    }

    /** Returns a builder without values. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the copy of the store. */
    public StoreCopy copy() {
        return mCopy;
    }

    /** Returns the read order in use. */
    public ReadOrder order() {
        return mOrder;
    }

    /** Returns whether the copy is complete and not older than the limit. */
    public boolean isCurrent() {
        return mCopy.isComplete() && mCopy.age() <= mMaxAgeNanoseconds;
    }

    /** Replaces the known instances. */
    public void setInstances(Collection<Instance> instances) {
        ReadOrder order = ReadOrder.of(mHost, mRegion, instances);
        boolean sameSources = order.rank() == mOrder.rank() && order.peers().equals(mOrder.peers());
        mOrder = order;
        if (!sameSources) {
            mSource = 0;
            mAvoidedPeers.keySet().retainAll(order.peers());
        }
    }

    /** Returns the call to make now, or null if one is pending or none is due. */
    public Call nextCall() {
        if (mOpenCall != null) {
            return null;
        }
        mOpenCall = findPeersCall();
        if (mOpenCall == null && mPeersFound) {
            mOpenCall = chooseCall();
        }
        return mOpenCall;
    }

    /** Applies the first page of the instances. */
    public void onPeers(ItemStore.Page page) {
        mOpenCall = null;
        page.items().forEach(mCopy::apply);
        if (!mPeersFound) {
            mPeersFound = true;
            mPeersFoundNanoseconds = mTicker.nanoTime();
        }
        pauseFindPeers(
                FIND_PEERS_AGAIN_NANOSECONDS + page.items().size() * PAUSE_PER_NODE_NANOSECONDS);
    }

    /** Applies a page of a listing of the store. */
    public void onPage(ItemStore.Page page) {
        mWatcher.onPage(page);
        onStoreResponse();
    }

    /** Applies the response of the store to a watch. */
    public void onChanges(ItemStore.Changes changes) {
        mWatcher.onChanges(changes);
        onStoreResponse();
    }

    /**
     * Applies the response of another node.
     *
     * @param batch items
     * @param ageNanoseconds age of the copy of that node
     */
    public void onBatch(StoreItemBatch batch, long ageNanoseconds) {
        mOpenCall = null;
        mReadAll = false;
        mCopy.apply(batch);
        mWatcher.resumeWatching();
        mCopy.confirm(mTicker.nanoTime() - ageNanoseconds);
        if (ageNanoseconds > mMaxAgeNanoseconds) {
            useNextSource();
        } else {
            onCurrentSource();
        }
    }

    /**
     * Chooses another source after a failure of the open call.
     *
     * @param historyLost whether the source no longer has the changes after the known revision
     * @param incomplete whether the source responded that it does not have all items yet
     */
    public void onFailure(boolean historyLost, boolean incomplete) {
        Call call = mOpenCall;
        mOpenCall = null;
        if (call == null) {
            return;
        }
        if (call instanceof Call.ReadPeer peer) {
            if (historyLost && !mReadAll) {
                mReadAll = true;
                return;
            }
            long pause = incomplete ? INCOMPLETE_PEER_NANOSECONDS : FAILED_PEER_NANOSECONDS;
            mAvoidedPeers.put(peer.host(), mTicker.nanoTime() + pause);
            useNextSource();
            return;
        }
        if (call instanceof Call.FindPeers) {
            pauseFindPeers(FIND_PEERS_PAUSE_NANOSECONDS);
            return;
        }
        mWatcher.onFailure(historyLost);
        if (!historyLost) {
            pauseDirectReads();
            useNextSource();
        }
    }

    private Call findPeersCall() {
        boolean due = mTicker.nanoTime() - mFindPeersNanoseconds >= 0;
        return due && !mCopy.isComplete() ? new Call.FindPeers() : null;
    }

    private void pauseFindPeers(long pause) {
        mFindPeersNanoseconds = mTicker.nanoTime() + pause / 2 + mRandom.nextLong(pause);
    }

    private void pauseDirectReads() {
        long pause =
                Math.max(
                        MIN_DIRECT_PAUSE_NANOSECONDS,
                        mOrder.fleetSize() * PAUSE_PER_NODE_NANOSECONDS);
        mDirectDelayed = true;
        mDirectNanoseconds = mTicker.nanoTime() + pause / 2 + mRandom.nextLong(pause);
    }

    private Call chooseCall() {
        // The pause after a burst of changes is no reason to read a peer, which has nothing newer.
        if (isStore(mSource) && isDirectReadDue() && !mWatcher.isFailing()) {
            return storeCall();
        }
        int count = mOrder.peers().size() + 1;
        for (int tried = 0; tried < count; tried++) {
            Call call = callOf((mSource + tried) % count);
            if (call != null) {
                setSource((mSource + tried) % count);
                return call;
            }
        }
        return null;
    }

    private Call callOf(int source) {
        if (isStore(source)) {
            return isDirectReadDue() ? storeCall() : null;
        }
        String host = mOrder.peers().get(mOrder.rank() == 0 ? source - 1 : source);
        long now = mTicker.nanoTime();
        if (mAvoidedPeers.containsKey(host) && now - mAvoidedPeers.get(host) < 0) {
            return null;
        }
        boolean all = mReadAll || !mCopy.isComplete();
        return new Call.ReadPeer(host, all ? 0 : mCopy.revision());
    }

    private Call storeCall() {
        StoreWatcher.Call call = mWatcher.nextCall();
        return call == null ? null : new Call.ReadStore(call);
    }

    private boolean isStore(int source) {
        return source == (mOrder.rank() == 0 ? 0 : mOrder.peers().size());
    }

    private boolean isDirectReadDue() {
        if (mOrder.rank() == 0 && mOrder.listed()) {
            return true;
        }
        long now = mTicker.nanoTime();
        if (now - mDirectNanoseconds < 0) {
            return false;
        }
        if (mCopy.isComplete()) {
            return true;
        }
        long base = mOrder.listed() ? COLD_DELAY_NANOSECONDS : UNLISTED_DELAY_NANOSECONDS;
        long delay = base + mOrder.rank() * COLD_DELAY_PER_RANK_NANOSECONDS;
        return now - mPeersFoundNanoseconds - delay >= 0;
    }

    private void onStoreResponse() {
        mOpenCall = null;
        onCurrentSource();
    }

    private void onCurrentSource() {
        mDirectDelayed = false;
        if (mSource > 0 && mTicker.nanoTime() - mFirstSourceNanoseconds >= 0) {
            setSource(0);
        }
    }

    private void useNextSource() {
        if (!mDirectDelayed && mCopy.isComplete()) {
            mDirectDelayed = true;
            long delay = DIRECT_DELAY_NANOSECONDS * Math.min(mOrder.rank(), MAX_DELAYED_RANK);
            mDirectNanoseconds =
                    mTicker.nanoTime()
                            + delay
                            + mRandom.nextLong(1 + DIRECT_JITTER_NANOSECONDS * mOrder.rank());
        }
        setSource((mSource + 1) % (mOrder.peers().size() + 1));
    }

    private void setSource(int source) {
        if (mSource == 0 && source > 0) {
            mFirstSourceNanoseconds =
                    mTicker.nanoTime()
                            + MIN_DETOUR_NANOSECONDS
                            + mRandom.nextLong(DETOUR_JITTER_NANOSECONDS);
        }
        mSource = source;
    }

    /** Builds a {@link StoreReplica}; every value is required. */
    public static final class Builder {
        private Ticker mTicker;
        private RandomGenerator mRandom;
        private String mHost;
        private String mRegion;
        private Duration mRemovalGrace;
        private Duration mBurstPause;
        private Duration mMaxAge;

        private Builder() {}

        /** Sets the clock. */
        public Builder setTicker(Ticker ticker) {
            mTicker = ticker;
            return this;
        }

        /** Sets the source of randomness for backoffs. */
        public Builder setRandom(RandomGenerator random) {
            mRandom = random;
            return this;
        }

        /** Sets the host and the region of the node. */
        public Builder setLocation(String host, String region) {
            mHost = host;
            mRegion = region;
            return this;
        }

        /** Sets the time for which a removed item is kept. */
        public Builder setRemovalGrace(Duration removalGrace) {
            mRemovalGrace = removalGrace;
            return this;
        }

        /** Sets the time without calls to the store after a burst of large changes. */
        public Builder setBurstPause(Duration burstPause) {
            mBurstPause = burstPause;
            return this;
        }

        /** Sets the age above which the copy of another node is outdated. */
        public Builder setMaxAge(Duration maxAge) {
            mMaxAge = maxAge;
            return this;
        }

        /** Builds the replica. */
        public StoreReplica build() {
            return new StoreReplica(this);
        }
    }
}
