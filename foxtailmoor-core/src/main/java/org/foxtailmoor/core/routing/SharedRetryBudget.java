package org.foxtailmoor.core.routing;

import io.netty.util.concurrent.Ticker;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import org.foxtailmoor.base.TokenBucket;

/**
 * Limits the retries that reach the targets of one service across all nodes without coordination:
 * each node spends its own share. Confined to the data loop.
 *
 * <p>A node may retry a fixed fraction of its requests, plus an equal part of the fixed allowance
 * of the service. The sum over the nodes stays below the limit of the service in every window,
 * because a token bucket never grants more in a window than its burst plus the tokens added.
 * Without a limit, retries would multiply the load on the remaining targets while many attempts
 * fail.
 */
public final class SharedRetryBudget {
    /**
     * Fraction of the limit available to a service's own retries. Calls made by a retried request
     * count as retries at the called service, and use most of the remainder when both services
     * retry at their maximum rate.
     */
    public static final double OWN_RETRY_SHARE = 0.35;

    private final Ticker mTicker;
    private final double mRatio;
    private final double mAllowance;
    private final Map<String, TokenBucket> mBuckets = new HashMap<>();
    private int mNodeCount = 1;

    private SharedRetryBudget(Ticker ticker, double ratio, double allowance) {
        mTicker = Objects.requireNonNull(ticker, "ticker");
        mRatio = ratio;
        mAllowance = allowance;
    }

    /**
     * Creates a budget.
     *
     * @param ticker clock, not null
     * @param ratio retries per request that all nodes together may send to one service
     * @param allowance additional retries that all nodes together may send in each window
     */
    public static SharedRetryBudget of(Ticker ticker, double ratio, double allowance) {
        return new SharedRetryBudget(ticker, ratio, allowance);
    }

    /** Sets the number of nodes that share the budget, at least 1. */
    public void setNodeCount(int nodes) {
        if (nodes != mNodeCount && nodes > 0) {
            mNodeCount = nodes;
            mBuckets.values().forEach(bucket -> bucket.resize(0, burst()));
        }
    }

    /** Records a request for a service, which increases its budget. */
    public void requestStarted(String serviceId) {
        bucket(serviceId).give(mRatio * OWN_RETRY_SHARE);
    }

    /** Takes one retry from the budget of a service and returns whether one was available. */
    public boolean tryTake(String serviceId) {
        return bucket(serviceId).tryTake(1);
    }

    private TokenBucket bucket(String serviceId) {
        return mBuckets.computeIfAbsent(serviceId, id -> TokenBucket.of(mTicker, 0, burst()));
    }

    private double burst() {
        return Math.max(1, mAllowance * OWN_RETRY_SHARE / mNodeCount);
    }
}
