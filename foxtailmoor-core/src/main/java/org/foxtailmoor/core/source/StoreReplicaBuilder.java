package org.foxtailmoor.core.source;

import io.netty.util.concurrent.Ticker;
import java.time.Duration;
import java.util.random.RandomGenerator;

/** Builds a {@link StoreReplica}; every value is required. */
public final class StoreReplicaBuilder {
    Ticker mTicker;
    RandomGenerator mRandom;
    String mHost;
    String mRegion;
    Duration mRemovalGrace;
    Duration mBurstPause;
    Duration mMaxAge;
    ItemOrder mItemOrder;

    StoreReplicaBuilder() {}

    /** Sets the clock. */
    public StoreReplicaBuilder setTicker(Ticker ticker) {
        mTicker = ticker;
        return this;
    }

    /** Sets the source of randomness for backoffs. */
    public StoreReplicaBuilder setRandom(RandomGenerator random) {
        mRandom = random;
        return this;
    }

    /** Sets the host and the region of the node. */
    public StoreReplicaBuilder setLocation(String host, String region) {
        mHost = host;
        mRegion = region;
        return this;
    }

    /** Sets the time for which a removed item is kept. */
    public StoreReplicaBuilder setRemovalGrace(Duration removalGrace) {
        mRemovalGrace = removalGrace;
        return this;
    }

    /** Sets the time without calls to the store after a burst of large changes. */
    public StoreReplicaBuilder setBurstPause(Duration burstPause) {
        mBurstPause = burstPause;
        return this;
    }

    /** Sets the age above which the copy of another node is outdated. */
    public StoreReplicaBuilder setMaxAge(Duration maxAge) {
        mMaxAge = maxAge;
        return this;
    }

    /** Sets the order of the states of an item. */
    public StoreReplicaBuilder setItemOrder(ItemOrder itemOrder) {
        mItemOrder = itemOrder;
        return this;
    }

    /** Builds the replica. */
    public StoreReplica build() {
        return new StoreReplica(this);
    }
}
