package org.foxtailmoor.core.source;

import io.netty.util.concurrent.Ticker;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
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
 *
 * <p>A node whose copy is outdated always reads the best source that it is not reading yet, see
 * {@link SourceRanking}. A source that has failed is then only the last choice, not excluded: the
 * others may be silent.
 */
public final class StoreReplica {
    /** Time for which other sources are preferred to a peer that did not respond. */
    static final long FAILED_PEER_NANOSECONDS = TimeUnit.SECONDS.toNanos(10);

    /** Time for which a peer that does not have all items yet is not asked again. */
    static final long INCOMPLETE_PEER_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(200);

    /**
     * Time after which a node whose copy is outdated reads the next source as well. A source with a
     * newer copy responds at once.
     */
    static final long NEXT_SOURCE_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(250);

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
         * @param after position up to which the copy is complete, {@link StorePosition#NONE} to
         *     read every item
         */
        record ReadPeer(String host, StorePosition after) implements Call {}
    }

    private final Ticker mTicker;
    private final RandomGenerator mRandom;
    private final String mHost;
    private final String mRegion;
    private final StoreCopy mCopy;
    private final StoreWatcher mWatcher;
    private final DirectReadSchedule mDirectReads;
    private final long mMaxAgeNanoseconds;
    private final PeerStates mPeerStates;
    private final PeerSearch mPeerSearch;
    private final SelectedSource mSource;
    private final PeerComparison mComparison;
    private ReadOrder mOrder = new ReadOrder(0, false, List.of(), "", 1);
    private Call mOpenCall;
    private long mOpenCallNanoseconds;
    private SourceRanking.State mOpenState = SourceRanking.State.USABLE;
    private boolean mReadAll;

    StoreReplica(StoreReplicaBuilder builder) {
        mTicker = Objects.requireNonNull(builder.mTicker, "ticker");
        mRandom = Objects.requireNonNull(builder.mRandom, "random");
        mHost = Objects.requireNonNull(builder.mHost, "host");
        mRegion = Objects.requireNonNull(builder.mRegion, "region");
        mCopy = StoreCopy.of(mTicker, builder.mRemovalGrace, builder.mItemOrder);
        mWatcher = StoreWatcher.of(mTicker, mRandom, mCopy, builder.mBurstPause);
        mMaxAgeNanoseconds = builder.mMaxAge.toNanos();
        mPeerSearch = new PeerSearch(mTicker, mRandom);
        mDirectReads = new DirectReadSchedule(mTicker, mRandom);
        mPeerStates = new PeerStates(mTicker);
        mComparison = new PeerComparison(mTicker);
        mSource = new SelectedSource(mTicker, mRandom);
    }

    /** Returns a builder without values. */
    public static StoreReplicaBuilder builder() {
        return new StoreReplicaBuilder();
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

    /**
     * Returns whether the items may be used and passed on: the copy is complete and, if the store
     * has eras, has been compared with the copy of a peer unless none responds in time.
     */
    public boolean isInitialized() {
        return mCopy.isComplete() && mComparison.isDone(mCopy);
    }

    /** Replaces the known instances. */
    public void setInstances(Collection<Instance> instances) {
        ReadOrder order = ReadOrder.of(mHost, mRegion, instances);
        boolean sameSources =
                order.rank() == mOrder.rank() && order.sources().equals(mOrder.sources());
        mOrder = order;
        mComparison.setPeers(order, mHost, instances);
        if (!sameSources) {
            mSource.reset();
            mPeerStates.retainAll(order.sources());
        }
    }

    /**
     * Returns the call to make now, or null if none is due. While a call is pending and the copy is
     * outdated, another source is read beside it; the pending call is then late, see {@link
     * #onLate}.
     */
    public Call nextCall() {
        if (mOpenCall != null) {
            return nextCallBesideOpenCall();
        }
        boolean findPeers = mPeerSearch.isDue() && !mCopy.isComplete();
        mOpenCall = findPeers ? new Call.FindPeers() : null;
        if (mOpenCall == null && mPeerSearch.hasFound()) {
            Call comparison = comparisonCall();
            mOpenCall = comparison != null ? comparison : chooseCall();
        }
        mOpenCallNanoseconds = mTicker.nanoTime();
        return mOpenCall;
    }

    /** Applies the first page of the instances. */
    public void onPeers(ItemStore.Page page) {
        mOpenCall = null;
        page.items().forEach(mCopy::apply);
        if (!mPeerSearch.hasFound()) {
            mDirectReads.onPeersFound();
        }
        mPeerSearch.onPage(page.items().size());
    }

    /**
     * Chooses another source while the open call takes longer than expected. Its result is then
     * passed to {@code onLatePage}, {@code onLateChanges}, {@code onLateBatch} or {@code
     * onLateFailure}.
     */
    public void onLate() {
        if (mOpenCall != null) {
            leaveOpenCall();
            mDirectReads.onSourceLost(mOrder.rank());
        }
    }

    /** Returns whether another source is read while a call is pending. */
    public boolean isLate(Call call) {
        return mPeerStates.isLate(call);
    }

    /** Returns the number of calls that are late and still pending. */
    public int lateCalls() {
        return mPeerStates.lateCalls();
    }

    /** Returns the position that the store stated last in a response to this node. */
    public StorePosition storePosition() {
        return mWatcher.storePosition();
    }

    /** Returns whether the store is the source in use. */
    public boolean readsStore() {
        return isStore(mSource.index());
    }

    /** Applies a page that a late call has returned. */
    public void onLatePage(Call.ReadStore call, ItemStore.Page page) {
        mPeerStates.removeLate(call);
        mWatcher.onPage(page);
        onLateStoreResponse();
    }

    /** Applies changes that a late call has returned. */
    public void onLateChanges(Call.ReadStore call, ItemStore.Changes changes) {
        mPeerStates.removeLate(call);
        mWatcher.onChanges(changes);
        onLateStoreResponse();
    }

    /**
     * Applies a late response of another node; see {@link #onBatch}. If this node waits for whole
     * values of the store or for a source that is worse, it continues with the differences of that
     * node.
     */
    public void onLateBatch(Call.ReadPeer call, StoreItemBatch batch, long ageNanoseconds) {
        mPeerStates.removeLate(call);
        long age = applyBatch(batch, ageNanoseconds);
        onPeerAge(call.host(), age);
        if (age > mMaxAgeNanoseconds) {
            return;
        }
        int source = mOrder.sources().indexOf(call.host());
        boolean worse =
                mOpenCall instanceof Call.ReadStore
                        || mOpenCall instanceof Call.ReadPeer
                                && mOpenState != SourceRanking.State.USABLE;
        if (worse && source >= 0) {
            leaveOpenCall();
            mSource.select(source);
        }
    }

    /** Records that a late call has failed; see {@link #onFailure}. */
    public void onLateFailure(Call call, boolean historyLost) {
        mPeerStates.removeLate(call);
        if (call instanceof Call.ReadStore) {
            onStoreFailure(historyLost);
        } else if (call instanceof Call.ReadPeer peer && !historyLost) {
            mPeerStates.onFailed(peer.host(), FAILED_PEER_NANOSECONDS);
        }
    }

    /** Applies a page of a listing of the store. */
    public void onPage(ItemStore.Page page) {
        onStoreResponse(mWatcher.onPage(page));
    }

    /** Applies the response of the store to a watch. */
    public void onChanges(ItemStore.Changes changes) {
        onStoreResponse(mWatcher.onChanges(changes));
    }

    /**
     * Applies the response of another node.
     *
     * @param batch items
     * @param ageNanoseconds age of the copy of that node
     */
    public void onBatch(StoreItemBatch batch, long ageNanoseconds) {
        Call call = mOpenCall;
        mOpenCall = null;
        long age = applyBatch(batch, ageNanoseconds);
        if (call instanceof Call.ReadPeer peer) {
            onPeerAge(peer.host(), age);
        }
        if (age <= mMaxAgeNanoseconds) {
            mSource.returnToFirst();
        }
    }

    /**
     * Chooses another source after a failure of the open call.
     *
     * @param historyLost whether the source no longer has the changes after the known position
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
            mPeerStates.onFailed(
                    peer.host(),
                    incomplete ? INCOMPLETE_PEER_NANOSECONDS : FAILED_PEER_NANOSECONDS);
            mDirectReads.onSourceLost(mOrder.rank());
            return;
        }
        if (call instanceof Call.FindPeers) {
            mPeerSearch.onFailure();
            return;
        }
        onStoreFailure(historyLost);
    }

    private void onStoreFailure(boolean historyLost) {
        mWatcher.onFailure(historyLost);
        if (!historyLost) {
            onStoreLost();
        }
    }

    private void onStoreLost() {
        mDirectReads.onFailure(mOrder.fleetSize());
        mDirectReads.onSourceLost(mOrder.rank());
    }

    private void leaveOpenCall() {
        mPeerStates.addLate(mOpenCall, mOpenCallNanoseconds);
        mOpenCall = null;
    }

    /**
     * Returns the call to make beside the pending one, or null. A node without items makes none,
     * because two responses with all items would share its link.
     */
    private Call nextCallBesideOpenCall() {
        boolean waited = mTicker.nanoTime() - mOpenCallNanoseconds >= NEXT_SOURCE_NANOSECONDS;
        Call comparison = waited ? comparisonCall() : null;
        if (comparison != null) {
            return replaceOpenCall(comparison);
        }
        if (mOpenCall instanceof Call.FindPeers || !mCopy.isComplete() || isCurrent()) {
            return null;
        }
        mDirectReads.onSourceLost(mOrder.rank());
        List<SourceRanking.Source> sources = sources();
        int best = SourceRanking.best(sources, mSource.index());
        if (best < 0 || !waited && sources.get(best).state().compareTo(mOpenState) >= 0) {
            return null;
        }
        return replaceOpenCall(callOf(best, sources.get(best).state()));
    }

    private Call replaceOpenCall(Call call) {
        leaveOpenCall();
        mOpenCall = call;
        mOpenCallNanoseconds = mTicker.nanoTime();
        return mOpenCall;
    }

    /**
     * Applies a batch and returns the age of its sender's copy, which is unlimited if the sender
     * does not know the present era of the store.
     */
    private long applyBatch(StoreItemBatch batch, long ageNanoseconds) {
        mReadAll = false;
        if (batch.complete()) {
            mComparison.onPeerItems();
        }
        if (mCopy.apply(batch)) {
            mWatcher.resumeWatching();
            mCopy.confirm(mTicker.nanoTime() - ageNanoseconds);
            return ageNanoseconds;
        }
        // Changes of a later era are of no use without the items before them.
        mReadAll = mCopy.position().isInEraBefore(batch.position());
        return mReadAll ? ageNanoseconds : Long.MAX_VALUE;
    }

    /** Returns the call that compares the first items with those of a peer, or null. */
    private Call comparisonCall() {
        if (!mCopy.isComplete() || mComparison.isDone(mCopy)) {
            return null;
        }
        String host = mComparison.nextHost();
        if (host == null && mOpenCall == null && mPeerStates.lateCalls() == 0) {
            mComparison.onAllFailed();
        }
        return host == null ? null : new Call.ReadPeer(host, StorePosition.NONE);
    }

    private void onPeerAge(String host, long ageNanoseconds) {
        boolean outdated = ageNanoseconds > mMaxAgeNanoseconds;
        mPeerStates.onResponse(host, outdated);
        if (outdated) {
            mDirectReads.onSourceLost(mOrder.rank());
        } else {
            onCurrentSource();
        }
    }

    private Call chooseCall() {
        // The pause after a burst of changes is no reason to read a peer, which has nothing newer.
        if (isStore(mSource.index())
                && isDirectReadDue()
                && !mWatcher.isFailing()
                && !mPeerStates.isStoreLate()) {
            return mWatcher.isDue() ? callOf(mSource.index(), SourceRanking.State.USABLE) : null;
        }
        List<SourceRanking.Source> sources = sources();
        int best = SourceRanking.best(sources, mSource.index());
        if (best < 0) {
            mDirectReads.onSourceLost(mOrder.rank());
            return null;
        }
        return callOf(best, sources.get(best).state());
    }

    private List<SourceRanking.Source> sources() {
        List<SourceRanking.Source> sources = new ArrayList<>();
        for (String source : mOrder.sources()) {
            sources.add(source.equals(ReadOrder.STORE) ? store() : peer(source));
        }
        return sources;
    }

    private SourceRanking.Source store() {
        boolean needed = isStore(mSource.index()) || !isCurrent() || mDirectReads.isSeeking();
        return needed && isDirectReadDue() && mWatcher.isDue()
                ? SourceRanking.Source.USABLE
                : SourceRanking.Source.UNAVAILABLE;
    }

    private SourceRanking.Source peer(String host) {
        boolean open = mOpenCall instanceof Call.ReadPeer read && read.host().equals(host);
        // The copy of a first node's standby may be what it has read from this node.
        boolean needed =
                !host.equals(mOrder.standby())
                        || host.equals(mOrder.sources().get(mSource.index()))
                        || !isCurrent() && (mCopy.isComplete() || mOrder.rank() == 0);
        if (open || !needed) {
            return SourceRanking.Source.UNAVAILABLE;
        }
        return mPeerStates.stateOf(host, mCopy.isComplete() && !isCurrent());
    }

    private Call callOf(int source, SourceRanking.State state) {
        mOpenState = state;
        mSource.select(source);
        if (isStore(source)) {
            return storeCall();
        }
        boolean all = mReadAll || !mCopy.isComplete();
        return new Call.ReadPeer(
                mOrder.sources().get(source), all ? StorePosition.NONE : mCopy.position());
    }

    private Call storeCall() {
        mWatcher.listAfterGap();
        return new Call.ReadStore(mWatcher.nextCall());
    }

    private boolean isStore(int source) {
        return mOrder.sources().get(source).equals(ReadOrder.STORE);
    }

    private boolean isDirectReadDue() {
        return mDirectReads.isDue(mOrder, mCopy.isComplete(), mPeerStates.reachOf(mOrder));
    }

    private void onLateStoreResponse() {
        if (isCurrent()) {
            onCurrentSource();
        }
    }

    private void onStoreResponse(boolean current) {
        mOpenCall = null;
        if (current) {
            onCurrentSource();
            mSource.returnToFirst();
        } else {
            onStoreLost();
        }
    }

    private void onCurrentSource() {
        mDirectReads.onCurrentSource();
        mPeerStates.clearOutdated();
    }
}
