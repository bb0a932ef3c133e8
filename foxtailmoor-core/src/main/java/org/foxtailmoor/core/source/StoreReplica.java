package org.foxtailmoor.core.source;

import io.netty.util.concurrent.Ticker;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.foxtailmoor.protocol.generated.Instance;

/**
 * Keeps a {@link StoreCopy} up to date by reading the store or other nodes, and decides which of
 * them to read next. Confined to the control loop.
 *
 * <p>Every copy knows its age: the time since a direct reader last heard from the store. A source
 * whose copy is older than the limit is replaced by the next one of the {@link ReadOrder}. Age is
 * passed on with the items, so that nodes which read from each other in a circle also notice that
 * they hear nothing new.
 *
 * <p>The store sends whole values, other nodes send differences. Only a few standby readers of a
 * region read the store soon after its first node has become outdated; the others wait for them.
 * Otherwise a slow reader would make the whole region read whole values over the same links.
 *
 * <p>A call that takes long is not given up: the node reads another source in the meantime and
 * still applies the late response. On a full link every response is late.
 */
public final class StoreReplica {
    /** Time for which a peer that did not respond is not asked again. */
    static final long FAILED_PEER_NANOSECONDS = TimeUnit.SECONDS.toNanos(10);

    /** Time for which a peer that does not have all items yet is not asked again. */
    static final long INCOMPLETE_PEER_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(200);

    /** Shortest use of another source before the first one is tried again. */
    private static final long MIN_DETOUR_NANOSECONDS = TimeUnit.SECONDS.toNanos(10);

    private static final long DETOUR_JITTER_NANOSECONDS = TimeUnit.SECONDS.toNanos(4);

    /** Age of the copy above which the store is listed, because a watch returns every version. */
    private static final long MAX_GAP_NANOSECONDS = TimeUnit.SECONDS.toNanos(5);

    /** The same age while large items change in quick succession. */
    private static final long MAX_GAP_IN_BURST_NANOSECONDS = StoreWatcher.BURST_WINDOW_NANOSECONDS;

    private static final long RECENT_BURST_NANOSECONDS = TimeUnit.SECONDS.toNanos(10);

    /** Pause for each known node after which peers are looked for again. */
    static final long PAUSE_PER_NODE_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(10);

    static final long FIND_PEERS_PAUSE_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(200);

    /**
     * Time after which a node without items looks for peers again. When the whole fleet starts, the
     * first listings have few instances or none.
     */
    static final long FIND_PEERS_AGAIN_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(700);

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
    private final DirectReadSchedule mDirectReads;
    private final long mMaxAgeNanoseconds;
    private final Map<String, Long> mAvoidedPeers = new HashMap<>();
    private final Set<Call> mLateCalls = new HashSet<>();
    private ReadOrder mOrder = new ReadOrder(0, false, List.of(), "", 1);
    private Call mOpenCall;
    private boolean mPeersFound;
    private boolean mReadAll;
    private int mSource;
    private long mFirstSourceNanoseconds;
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
        mDirectReads = new DirectReadSchedule(mTicker, mRandom);
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
            mDirectReads.onPeersFound();
        }
        pauseFindPeers(
                FIND_PEERS_AGAIN_NANOSECONDS + page.items().size() * PAUSE_PER_NODE_NANOSECONDS);
    }

    /**
     * Chooses another source while the open call takes longer than expected. Its result is then
     * passed to {@code onLatePage}, {@code onLateChanges}, {@code onLateBatch} or {@code
     * onLateFailure}.
     */
    public void onLate() {
        if (mOpenCall != null) {
            leaveOpenCall();
            useNextSource();
        }
    }

    /** Returns whether another source is read while a call is pending. */
    public boolean isLate(Call call) {
        return mLateCalls.contains(call);
    }

    /** Returns the number of calls that are late and still pending. */
    public int lateCalls() {
        return mLateCalls.size();
    }

    /** Returns whether the store is the source in use. */
    public boolean readsStore() {
        return isStore(mSource);
    }

    /** Applies a page that a late call has returned. */
    public void onLatePage(Call.ReadStore call, ItemStore.Page page) {
        mLateCalls.remove(call);
        mWatcher.onPage(page);
    }

    /** Applies changes that a late call has returned. */
    public void onLateChanges(Call.ReadStore call, ItemStore.Changes changes) {
        mLateCalls.remove(call);
        mWatcher.onChanges(changes);
    }

    /**
     * Applies a late response of another node; see {@link #onBatch}. If this node waits for whole
     * values of the store, it continues with the differences of that node.
     */
    public void onLateBatch(Call.ReadPeer call, StoreItemBatch batch, long ageNanoseconds) {
        mLateCalls.remove(call);
        applyBatch(batch, ageNanoseconds);
        int source = sourceOf(call.host());
        if (mOpenCall instanceof Call.ReadStore
                && source >= 0
                && ageNanoseconds <= mMaxAgeNanoseconds) {
            leaveOpenCall();
            setSource(source);
        }
    }

    /** Records that a late call has failed; see {@link #onFailure}. */
    public void onLateFailure(Call call, boolean historyLost) {
        mLateCalls.remove(call);
        if (call instanceof Call.ReadStore) {
            mWatcher.onFailure(historyLost);
        } else if (call instanceof Call.ReadPeer peer && !historyLost) {
            avoid(peer.host(), FAILED_PEER_NANOSECONDS);
        }
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
        applyBatch(batch, ageNanoseconds);
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
            avoid(peer.host(), incomplete ? INCOMPLETE_PEER_NANOSECONDS : FAILED_PEER_NANOSECONDS);
            useNextSource();
            return;
        }
        if (call instanceof Call.FindPeers) {
            pauseFindPeers(FIND_PEERS_PAUSE_NANOSECONDS);
            return;
        }
        mWatcher.onFailure(historyLost);
        if (!historyLost) {
            mDirectReads.onFailure(mOrder.fleetSize());
            useNextSource();
        }
    }

    private void leaveOpenCall() {
        mLateCalls.add(mOpenCall);
        mOpenCall = null;
    }

    private void applyBatch(StoreItemBatch batch, long ageNanoseconds) {
        mReadAll = false;
        mCopy.apply(batch);
        mWatcher.resumeWatching();
        mCopy.confirm(mTicker.nanoTime() - ageNanoseconds);
    }

    private void avoid(String host, long pause) {
        mAvoidedPeers.put(host, mTicker.nanoTime() + pause);
    }

    private Call findPeersCall() {
        boolean due = mTicker.nanoTime() - mFindPeersNanoseconds >= 0;
        return due && !mCopy.isComplete() ? new Call.FindPeers() : null;
    }

    private void pauseFindPeers(long pause) {
        mFindPeersNanoseconds = mTicker.nanoTime() + pause / 2 + mRandom.nextLong(pause);
    }

    private Call chooseCall() {
        // The pause after a burst of changes is no reason to read a peer, which has nothing newer.
        boolean late = mLateCalls.stream().anyMatch(Call.ReadStore.class::isInstance);
        if (isStore(mSource) && isDirectReadDue() && !mWatcher.isFailing() && !late) {
            return storeCall();
        }
        int count = sourceCount();
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
        String host = hostOf(source);
        if (host.isEmpty() || isAvoided(host) || isLate(host)) {
            return null;
        }
        boolean all = mReadAll || !mCopy.isComplete();
        return new Call.ReadPeer(host, all ? 0 : mCopy.revision());
    }

    /** Returns the host of a source, empty if it must not be read now. */
    private String hostOf(int source) {
        int peer = mOrder.rank() == 0 ? source - 1 : source;
        if (peer < mOrder.peers().size()) {
            return mOrder.peers().get(peer);
        }
        // The copy of the standby may be what it has read from this node.
        return source == mSource || !isCurrent() ? mOrder.standby() : "";
    }

    /** Returns the source with a host, or -1 if it is no longer one. */
    private int sourceOf(String host) {
        for (int source = 0; source < sourceCount(); source++) {
            if (!isStore(source) && hostOf(source).equals(host)) {
                return source;
            }
        }
        return -1;
    }

    private boolean isAvoided(String host) {
        Long end = mAvoidedPeers.get(host);
        return end != null && mTicker.nanoTime() - end < 0;
    }

    private boolean isLate(String host) {
        return mLateCalls.stream()
                .anyMatch(call -> call instanceof Call.ReadPeer read && read.host().equals(host));
    }

    private Call storeCall() {
        boolean burst = mCopy.largeChangeAge() <= RECENT_BURST_NANOSECONDS;
        long maxGap = burst ? MAX_GAP_IN_BURST_NANOSECONDS : MAX_GAP_NANOSECONDS;
        if (mCopy.isComplete() && mCopy.age() > maxGap) {
            mWatcher.listNext();
        }
        StoreWatcher.Call call = mWatcher.nextCall();
        return call == null ? null : new Call.ReadStore(call);
    }

    private boolean isStore(int source) {
        return source == (mOrder.rank() == 0 ? 0 : mOrder.peers().size());
    }

    private boolean isDirectReadDue() {
        boolean isolated = mOrder.peers().stream().allMatch(this::isAvoided);
        return mDirectReads.isDue(mOrder, mCopy.isComplete(), isolated);
    }

    private void onStoreResponse() {
        mOpenCall = null;
        onCurrentSource();
    }

    private void onCurrentSource() {
        mDirectReads.onCurrentSource();
        if (mSource > 0 && mTicker.nanoTime() - mFirstSourceNanoseconds >= 0) {
            setSource(0);
        }
    }

    private void useNextSource() {
        mDirectReads.onSourceLost(mOrder.rank());
        setSource((mSource + 1) % sourceCount());
    }

    /** Returns the number of peers, the store and the standby. */
    private int sourceCount() {
        return mOrder.peers().size() + 2;
    }

    private void setSource(int source) {
        if (source > 0 && source != mSource) {
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
