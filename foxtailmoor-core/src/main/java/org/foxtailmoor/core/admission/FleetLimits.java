package org.foxtailmoor.core.admission;

import io.netty.util.concurrent.Ticker;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.base.TokenBucket;
import org.foxtailmoor.core.routing.Route;
import org.foxtailmoor.core.routing.RoutingSnapshot;
import org.foxtailmoor.protocol.generated.LimitEntry;

/**
 * Enforces this node's share of fleet-wide rate and concurrency limits. The share of a route is its
 * limit divided by the number of live upstreams of its service. Not thread-safe; used only on the
 * data loop.
 *
 * <p>Rates are divided exactly. A share of the burst or the concurrency is at least 1, because a
 * smaller one would refuse all requests. Otherwise the concurrency is rounded down, so that the sum
 * of the shares does not exceed the limit.
 */
public final class FleetLimits {
    /** Result of {@link #tryAcquire} for an admitted request. */
    public static final int ADMITTED = 0;

    private static final int CONCURRENCY_RETRY_AFTER_MILLISECONDS = 100;
    private static final long MAX_RETRY_AFTER_MILLISECONDS = 60_000;

    private final Ticker mTicker;
    private final Map<String, Share> mShares = new HashMap<>();

    private FleetLimits(Ticker ticker) {
        mTicker = Objects.requireNonNull(ticker, "ticker");
    }

    /**
     * Creates limits without recorded usage.
     *
     * @param ticker clock, not null
     */
    public static FleetLimits of(Ticker ticker) {
        return new FleetLimits(ticker);
    }

    /**
     * Acquires one request from the share of a route. Each admitted request must be passed to
     * {@link #release} when it ends.
     *
     * @param route route, not null; a route without a limit admits every request
     * @param liveUpstreams number of nodes that share the limit; less than 1 counts as 1
     * @return {@link #ADMITTED}, or the delay in milliseconds after which a retry may succeed, at
     *     least 1
     */
    public int tryAcquire(Route route, int liveUpstreams) {
        if (route.limit() == null) {
            return ADMITTED;
        }
        Share share = mShares.computeIfAbsent(route.id(), id -> new Share(mTicker));
        share.configure(route.limit().body(), Math.max(1, liveUpstreams));
        if (share.mRunning >= share.mConcurrency) {
            return CONCURRENCY_RETRY_AFTER_MILLISECONDS;
        }
        if (!share.mBucket.tryTake(1)) {
            long milliseconds = TimeUnit.NANOSECONDS.toMillis(share.mBucket.nanosecondsUntil(1));
            return (int) Math.min(MAX_RETRY_AFTER_MILLISECONDS, milliseconds + 1);
        }
        share.mRunning++;
        return ADMITTED;
    }

    /**
     * Releases an admitted request.
     *
     * @param route route, not null
     * @param ran whether the request ran; if not, its rate token is returned
     */
    public void release(Route route, boolean ran) {
        Share share = mShares.get(route.id());
        if (share == null) {
            return;
        }
        share.mRunning = Math.max(0, share.mRunning - 1);
        if (!ran) {
            share.mBucket.give(1);
        }
    }

    /** Forgets the shares of routes that the snapshot does not contain and that run nothing. */
    public void retain(RoutingSnapshot snapshot) {
        mShares.entrySet()
                .removeIf(
                        share ->
                                share.getValue().mRunning == 0
                                        && snapshot.routeById(share.getKey()) == null);
    }

    private static final class Share {
        private final TokenBucket mBucket;
        private LimitEntry mLimit;
        private int mLiveUpstreams;
        private int mConcurrency;
        private int mRunning;

        private Share(Ticker ticker) {
            mBucket = TokenBucket.of(ticker, 0, Double.MAX_VALUE);
        }

        private void configure(LimitEntry limit, int liveUpstreams) {
            if (limit.equals(mLimit) && liveUpstreams == mLiveUpstreams) {
                return;
            }
            mLimit = limit;
            mLiveUpstreams = liveUpstreams;
            double rate = (double) limit.getRatePerSecond() / liveUpstreams;
            double burst = (double) limit.getBurst() / liveUpstreams;
            mBucket.resize(rate, Math.max(1, burst));
            mConcurrency = Math.max(1, limit.getConcurrency() / liveUpstreams);
            if (limit.getConcurrency() == 0) {
                mConcurrency = Integer.MAX_VALUE;
            }
        }
    }
}
