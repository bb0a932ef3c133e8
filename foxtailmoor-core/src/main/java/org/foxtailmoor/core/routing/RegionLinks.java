package org.foxtailmoor.core.routing;

import io.netty.util.concurrent.Ticker;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Budgets of the links from this node's region to the other ones. Confined to the data loop, except
 * that any thread may read the rates.
 */
public final class RegionLinks {
    /** Receives changes of the budgets. */
    public interface Listener {
        /** Called when a region gets a budget. */
        void onRegionAdded(RegionLinks links, String region);

        /**
         * Called when the rate of a region was halved.
         *
         * @param region other region
         * @param bytesPerSecond new rate
         * @param delayNanoseconds delay of its round trips above their minimum
         */
        void onHalved(String region, long bytesPerSecond, long delayNanoseconds);
    }

    /** Shorter pauses are far below the delay that shows a saturated link. */
    private static final long MIN_PAUSE_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(5);

    /** Number of pauses that are kept; with a CPU quota there is one in 100 ms. */
    private static final int MAX_PAUSES = 32;

    private record Pause(long endNanoseconds, long nanoseconds) {}

    private final Ticker mTicker;
    private final String mOwnRegion;
    private final LongSupplier mLoopDelay;
    private final Listener mListener;
    private final ArrayDeque<Pause> mPauses = new ArrayDeque<>();
    private volatile Map<String, RegionLinkBudget> mBudgets = Map.of();

    private RegionLinks(
            Ticker ticker, String ownRegion, LongSupplier loopDelay, Listener listener) {
        mTicker = Objects.requireNonNull(ticker, "ticker");
        mOwnRegion = Objects.requireNonNull(ownRegion, "ownRegion");
        mLoopDelay = Objects.requireNonNull(loopDelay, "loopDelay");
        mListener = Objects.requireNonNull(listener, "listener");
    }

    /**
     * Creates an object without budgets; no argument may be null.
     *
     * @param ticker monotonic clock
     * @param ownRegion region of this node
     * @param loopDelay supplies for how many nanoseconds the tick of the data loop is overdue
     * @param listener receives changes
     */
    public static RegionLinks of(
            Ticker ticker, String ownRegion, LongSupplier loopDelay, Listener listener) {
        return new RegionLinks(ticker, ownRegion, loopDelay, listener);
    }

    /**
     * Records that the tick of the data loop was late. What arrived meanwhile seems to have taken
     * longer than it has.
     */
    public void recordLoopDelay(long nanoseconds) {
        if (nanoseconds < MIN_PAUSE_NANOSECONDS || mBudgets.isEmpty()) {
            return;
        }
        if (mPauses.size() == MAX_PAUSES) {
            mPauses.removeFirst();
        }
        mPauses.addLast(new Pause(mTicker.nanoTime(), nanoseconds));
    }

    /** Returns the rate of a region in body bytes per second, 0 if it has no budget. */
    public long bytesPerSecond(String region) {
        RegionLinkBudget budget = mBudgets.get(region);
        return budget == null ? 0 : budget.bytesPerSecond();
    }

    /** Keeps the budgets of these regions, with links to these upstreams only. */
    void retain(Set<String> regions, Set<String> upstreamIds) {
        Map<String, RegionLinkBudget> budgets = new HashMap<>();
        for (String region : regions) {
            if (region.equals(mOwnRegion)) {
                continue;
            }
            RegionLinkBudget budget = mBudgets.get(region);
            if (budget == null) {
                budget = new RegionLinkBudget(region, mTicker.nanoTime());
                mListener.onRegionAdded(this, region);
            }
            budget.retain(upstreamIds);
            budgets.put(region, budget);
        }
        mBudgets = budgets;
    }

    /** Returns the budget of a region, or null for the own region and for unknown ones. */
    RegionLinkBudget budget(String region) {
        return mBudgets.get(region);
    }

    void recordRoundTrip(RegionLinkBudget budget, String upstreamId, long nanoseconds) {
        long now = mTicker.nanoTime();
        long sent = now - nanoseconds;
        long paused = mLoopDelay.getAsLong();
        for (Pause pause : mPauses) {
            long overlap = pause.endNanoseconds() - sent;
            paused += Math.max(0, Math.min(pause.nanoseconds(), overlap));
        }
        budget.recordRoundTrip(upstreamId, nanoseconds, paused, now);
    }

    /** Adjusts the rates. */
    void tick() {
        long now = mTicker.nanoTime();
        for (RegionLinkBudget budget : mBudgets.values()) {
            long delay = budget.tick(now);
            if (delay > 0) {
                mListener.onHalved(budget.region(), budget.bytesPerSecond(), delay);
            }
        }
    }
}
