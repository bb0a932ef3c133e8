package org.foxtailmoor.core.routing;

import io.netty.util.concurrent.Ticker;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import org.foxtailmoor.base.TokenBucket;

/**
 * Limits the repeats that reach the targets of one service, over all nodes and without a message
 * between them: each node spends its own share. Belongs to the data loop.
 *
 * <p>A node may spend a fixed share of its requests, and its equal part of the allowance that the
 * service has beside that. The sum over the nodes stays below the limit of the service in every
 * window, because a token bucket never gives more in a window than its burst and what was added.
 * Load pattern: many attempts fail at once while targets crash or refuse, and repeats without a
 * limit would multiply the load on those that are left.
 */
public final class SharedRetryBudget {
    /**
     * Part of the limit that a service's own repeats use. The calls that a repeated request makes
     * count as repeats at the service that it calls, and take most of the rest when both services
     * repeat as much as they may.
     */
    public static final double SAFETY_SHARE = 0.35;

    private final Ticker mTicker;
    private final double mRatio;
    private final double mAllowance;
    private final Map<String, TokenBucket> mBuckets = new HashMap<>();
    private int mNodes = 1;

    private SharedRetryBudget(Ticker ticker, double ratio, double allowance) {
        mTicker = Objects.requireNonNull(ticker, "ticker");
        mRatio = ratio;
        mAllowance = allowance;
    }

    /**
     * Creates a budget.
     *
     * @param ticker clock, not null
     * @param ratio repeats per request that all nodes together may send to one service
     * @param allowance repeats that all nodes together may send beside these in each window
     */
    public static SharedRetryBudget of(Ticker ticker, double ratio, double allowance) {
        return new SharedRetryBudget(ticker, ratio, allowance);
    }

    /** Sets the number of nodes that share the budget, at least 1. */
    public void resize(int nodes) {
        if (nodes != mNodes && nodes > 0) {
            mNodes = nodes;
            mBuckets.values().forEach(bucket -> bucket.resize(0, burst()));
        }
    }

    /** Counts a request for a service. */
    public void requestStarted(String serviceId) {
        bucket(serviceId).give(mRatio * SAFETY_SHARE);
    }

    /** Takes one repeat for a service, and returns whether there was one. */
    public boolean tryTake(String serviceId) {
        return bucket(serviceId).tryTake(1);
    }

    private TokenBucket bucket(String serviceId) {
        return mBuckets.computeIfAbsent(serviceId, id -> TokenBucket.of(mTicker, 0, burst()));
    }

    private double burst() {
        return Math.max(1, mAllowance * SAFETY_SHARE / mNodes);
    }
}
