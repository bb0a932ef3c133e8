package org.foxtailmoor.core.source;

import io.netty.util.concurrent.Ticker;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.protocol.generated.Instance;

/**
 * Decides whether a node that has just listed the store asks its peers for their items before it
 * uses its own. The store may have come back from a copy that is older than what the peers know. A
 * store that states no eras does not do that. Confined to the control loop.
 */
final class PeerComparison {
    /** Longest time that the peers have for it. */
    static final long MAX_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);

    private static final int MAX_HOSTS = 16;

    private final Ticker mTicker;
    private final Set<String> mAskedHosts = new HashSet<>();
    private List<String> mHosts = List.of();
    private boolean mStarted;
    private boolean mDone;
    private long mStartNanoseconds;

    PeerComparison(Ticker ticker) {
        mTicker = ticker;
    }

    /** Returns whether the items of a copy may be used. */
    boolean isDone(StoreCopy copy) {
        if (!mDone && copy.isComplete()) {
            if (!mStarted) {
                mStarted = true;
                mStartNanoseconds = mTicker.nanoTime();
                mDone = copy.position().era() == 0;
            } else {
                mDone = mTicker.nanoTime() - mStartNanoseconds >= MAX_NANOSECONDS;
            }
        }
        return mDone;
    }

    /** Records that a peer has sent all its items. */
    void onPeerItems() {
        mDone = true;
    }

    /**
     * Replaces the peers.
     *
     * @param order order whose peers are asked first
     * @param self host of this node
     * @param instances all instances, of which further ones are asked
     */
    void setPeers(ReadOrder order, String self, Collection<Instance> instances) {
        if (mDone) {
            return;
        }
        Set<String> hosts = new LinkedHashSet<>(order.sources());
        for (Instance instance : instances) {
            if (hosts.size() < MAX_HOSTS) {
                hosts.add(instance.getAddress());
            }
        }
        hosts.removeAll(List.of(ReadOrder.STORE, self));
        mHosts = List.copyOf(hosts);
    }

    /** Returns the next peer to ask, or null if none is left. */
    String nextHost() {
        for (String host : mHosts) {
            if (mAskedHosts.add(host)) {
                return host;
            }
        }
        return null;
    }

    /** Ends the comparison, because every peer that has been asked has failed. */
    void onAllFailed() {
        mDone = true;
    }
}
