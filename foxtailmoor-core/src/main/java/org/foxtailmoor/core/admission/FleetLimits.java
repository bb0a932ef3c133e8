package org.foxtailmoor.core.admission;

import io.netty.util.concurrent.Ticker;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.base.TokenBucket;
import org.foxtailmoor.core.routing.Route;
import org.foxtailmoor.protocol.generated.LimitEntry;

/**
 * Enforces this home's share of the fleet-wide limits: limit ÷ number of live upstreams of the
 * route's service. Each route has its own share. Belongs to the data loop.
 *
 * <p>Rates are split exactly. A share of the burst or the concurrency is at least 1, because a
 * smaller one would refuse all requests; apart from that the concurrency is rounded down, so that
 * the shares together stay within the limit.
 */
public final class FleetLimits {
    /** Result of {@link #tryAcquire} that admits the request. */
    public static final int ADMITTED = 0;

    private static final int CONCURRENCY_RETRY_MILLISECONDS = 100;
    private static final long LONGEST_RETRY_MILLISECONDS = 60_000;

    private final Ticker mTicker;
    private final Map<String, Share> mShares = new HashMap<>();

    private FleetLimits(Ticker ticker) {
        mTicker = Objects.requireNonNull(ticker, "ticker");
    }

    /** Creates limits without state on a ticker, which must not be null. */
    public static FleetLimits of(Ticker ticker) {
        return new FleetLimits(ticker);
    }

    /**
     * Takes one request from the share of a route. An admitted request ends with {@link #release}.
     *
     * @param route route, not null; without limit it always admits
     * @param liveUpstreams live upstreams of the route's service; less than 1 counts as 1
     * @return {@link #ADMITTED}, or the milliseconds after which another attempt may succeed, at
     *     least 1
     */
    public int tryAcquire(Route route, int liveUpstreams) {
        if (route.limit() == null) {
            return ADMITTED;
        }
        Share share = mShares.computeIfAbsent(route.id(), id -> new Share(mTicker));
        share.configure(route.limit().body(), Math.max(1, liveUpstreams));
        if (share.mRunning >= share.mConcurrency) {
            return CONCURRENCY_RETRY_MILLISECONDS;
        }
        if (!share.mBucket.tryTake(1)) {
            long milliseconds = TimeUnit.NANOSECONDS.toMillis(share.mBucket.nanosecondsUntil(1));
            return (int) Math.min(LONGEST_RETRY_MILLISECONDS, milliseconds + 1);
        }
        share.mRunning++;
        return ADMITTED;
    }

    /**
     * Ends an admitted request.
     *
     * @param route route, not null
     * @param ran whether the request ran; if not, its token is given back
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
