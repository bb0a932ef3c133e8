package org.foxtailmoor.core.routing;

import io.netty.util.concurrent.Ticker;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.foxtailmoor.base.TokenBucket;
import org.foxtailmoor.protocol.generated.RetryEntry;

/**
 * Limits retries by the maximum attempts and the retry budget of the route and by the deadline.
 * Delays use exponential backoff with full jitter. Confined to the data loop.
 */
public final class BudgetedRetryPolicy implements RetryPolicy {
    /** Maximum number of unused retries that a route accumulates for a burst. */
    public static final int BUDGET_BURST = 10;

    /** Maximum backoff before jitter. */
    public static final long MAX_BACKOFF_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);

    private static final double PERCENT = 100.0;
    private static final int MAX_SHIFT = 20;

    private final Ticker mTicker;
    private final RandomGenerator mRandom;
    private final Map<String, TokenBucket> mBudgets = new HashMap<>();

    private BudgetedRetryPolicy(Ticker ticker, RandomGenerator random) {
        mTicker = Objects.requireNonNull(ticker, "ticker");
        mRandom = Objects.requireNonNull(random, "random");
    }

    /** Creates a policy; no argument may be null. */
    public static BudgetedRetryPolicy of(Ticker ticker, RandomGenerator random) {
        return new BudgetedRetryPolicy(ticker, random);
    }

    @Override
    public void retain(RoutingSnapshot snapshot) {
        mBudgets.keySet().removeIf(id -> snapshot.routeById(id) == null);
    }

    @Override
    public void requestStarted(Route route) {
        if (route.retry() != null) {
            budget(route).give(route.retry().body().getBudgetPercent() / PERCENT);
        }
    }

    @Override
    public long nextDelayNanoseconds(
            Route route, int attempts, long minDelayNanoseconds, long remainingNanoseconds) {
        if (route.retry() == null) {
            return NO_RETRY;
        }
        RetryEntry retry = route.retry().body();
        if (attempts >= retry.getAttempts()) {
            return NO_RETRY;
        }
        long delay = minDelayNanoseconds + jitteredBackoff(retry, attempts);
        if (delay >= remainingNanoseconds || !budget(route).tryTake(1)) {
            return NO_RETRY;
        }
        return delay;
    }

    private long jitteredBackoff(RetryEntry retry, int attempts) {
        long base = TimeUnit.MILLISECONDS.toNanos(retry.getBaseBackoffMilliseconds());
        long ceiling = base << Math.min(attempts - 1, MAX_SHIFT);
        return mRandom.nextLong(Math.min(ceiling, MAX_BACKOFF_NANOSECONDS) + 1);
    }

    private TokenBucket budget(Route route) {
        return mBudgets.computeIfAbsent(route.id(), id -> TokenBucket.of(mTicker, 0, BUDGET_BURST));
    }
}
