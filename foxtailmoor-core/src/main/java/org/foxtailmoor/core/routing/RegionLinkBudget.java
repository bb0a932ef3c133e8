package org.foxtailmoor.core.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Rate at which this node places bodies in one other region. All nodes share the link between two
 * regions and none knows its bandwidth, so that each one finds its share as TCP does: additive
 * increase while the rate is used, multiplicative decrease while round trips are long. Confined to
 * the data loop.
 *
 * <p>A saturated link delays the round trips of all links into the region, while a slow process or
 * lost packets delay those of one. The median over the links therefore decides. Bodies are not held
 * back: what was placed above the rate is a backlog, and the time that it would take is the wait of
 * another long body.
 */
final class RegionLinkBudget {
    /** Rate of a new budget. */
    static final double INITIAL_BYTES_PER_SECOND = 256_000;

    /** Lowest rate; one body of 8 KB each half second, by which a free link is found again. */
    static final double MIN_BYTES_PER_SECOND = 16_000;

    /**
     * Increase of the rate in one second. A share of 219 KB/s, that of 24 nodes at 42 Mbit/s, is
     * reached again 2 s after it was halved; 24 nodes overshoot by 50 ms of queue until they see
     * it.
     */
    static final double INCREASE_PER_SECOND = 64_000;

    /** Delay of round trips above their minimum that shows a saturated link. */
    static final long SATURATION_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(50);

    /** Age up to which a round trip counts: the ping interval of 400 ms and two ticks of 100 ms. */
    static final long WINDOW_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(600);

    /** Bounds the backlog, and thereby how long a region is avoided after a burst. */
    static final long MAX_WAIT_NANOSECONDS = TimeUnit.SECONDS.toNanos(2);

    /**
     * Rise of the minimum per time without a shorter round trip: 1 ms per second. A route that has
     * become 100 ms longer is accepted after a minute, while a saturation of 10 s changes little.
     */
    private static final double MINIMUM_RISE = 0.001;

    /** A link that opens while others are known to have shorter round trips may differ by this. */
    private static final long LINK_DIFFERENCE_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(20);

    /** Part of the rate from which it counts as used. */
    private static final double USED_RATIO = 0.5;

    /** Time constant of the measured rate. */
    private static final double USAGE_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);

    /** Time constant with which an unused rate returns to the initial one. */
    private static final double UNUSED_NANOSECONDS = TimeUnit.SECONDS.toNanos(10);

    private static final double NANOSECONDS_PER_SECOND = 1e9;
    private static final int CONSECUTIVE = 2;

    /** Round trips of the links to one upstream. */
    private static final class LinkSample {
        private double mMinimum;
        private long mExcess;
        private long mSentNanoseconds;
        private long mReceivedNanoseconds;
        private int mConsecutiveLong;
    }

    private final String mRegion;
    private final Map<String, LinkSample> mLinks = new HashMap<>();
    private double mBytesPerSecond = INITIAL_BYTES_PER_SECOND;
    private double mUsedBytesPerSecond;
    private double mBacklogBytes;
    private double mPlacedBytes;
    private long mDrainedNanoseconds;
    private long mTickNanoseconds;
    private long mHalvedNanoseconds;

    RegionLinkBudget(String region, long nowNanoseconds) {
        mRegion = region;
        mDrainedNanoseconds = nowNanoseconds;
        mTickNanoseconds = nowNanoseconds;
        mHalvedNanoseconds = nowNanoseconds;
    }

    /** Returns the region to which the budget applies. */
    String region() {
        return mRegion;
    }

    /** Returns the current rate of body bytes per second. */
    long bytesPerSecond() {
        return (long) mBytesPerSecond;
    }

    /** Removes links to upstreams that do not exist any more. */
    void retain(Set<String> upstreamIds) {
        mLinks.keySet().retainAll(upstreamIds);
    }

    /**
     * Records a round trip.
     *
     * @param upstreamId upstream at the other end of the link
     * @param nanoseconds time between a ping and its answer
     * @param pausedNanoseconds part of it in which this process did not run
     * @param now ticker time of the answer
     */
    void recordRoundTrip(String upstreamId, long nanoseconds, long pausedNanoseconds, long now) {
        LinkSample link = mLinks.get(upstreamId);
        if (link == null) {
            link = new LinkSample();
            link.mMinimum = Math.min(nanoseconds, smallestMinimum() + LINK_DIFFERENCE_NANOSECONDS);
            link.mReceivedNanoseconds = now;
            mLinks.put(upstreamId, link);
        }
        double risen = link.mMinimum + (now - link.mReceivedNanoseconds) * MINIMUM_RISE;
        link.mMinimum = Math.min(risen, nanoseconds);
        link.mExcess = (long) (nanoseconds - pausedNanoseconds - link.mMinimum);
        link.mSentNanoseconds = now - nanoseconds;
        link.mReceivedNanoseconds = now;
        link.mConsecutiveLong =
                link.mExcess > SATURATION_NANOSECONDS ? link.mConsecutiveLong + 1 : 0;
    }

    /** Records the bodies of a request that is placed in the region. */
    void recordPlaced(long bytes, long now) {
        drain(now);
        mPlacedBytes += bytes;
        double limit = mBytesPerSecond * MAX_WAIT_NANOSECONDS / NANOSECONDS_PER_SECOND;
        mBacklogBytes = Math.min(mBacklogBytes + bytes, Math.max(limit, mBacklogBytes));
    }

    /** Returns how long another long body would wait for the link. */
    long waitNanoseconds(long now) {
        drain(now);
        return (long) (mBacklogBytes / mBytesPerSecond * NANOSECONDS_PER_SECOND);
    }

    /**
     * Adjusts the rate.
     *
     * @return the smallest delay of the saturated links in nanoseconds if the rate was halved, else
     *     0
     */
    long tick(long now) {
        double elapsed = now - mTickNanoseconds;
        if (elapsed <= 0) {
            return 0;
        }
        drain(now);
        mTickNanoseconds = now;
        double used = mPlacedBytes / elapsed * NANOSECONDS_PER_SECOND;
        mPlacedBytes = 0;
        mUsedBytesPerSecond +=
                (used - mUsedBytesPerSecond) * Math.min(1, elapsed / USAGE_NANOSECONDS);
        return adjust(now, elapsed);
    }

    private long adjust(long now, double elapsed) {
        int known = 0;
        int saturated = 0;
        long smallestExcess = Long.MAX_VALUE;
        boolean repeated = false;
        for (LinkSample link : mLinks.values()) {
            if (now - link.mReceivedNanoseconds > WINDOW_NANOSECONDS) {
                continue;
            }
            known++;
            if (link.mExcess > SATURATION_NANOSECONDS) {
                saturated++;
                smallestExcess = Math.min(smallestExcess, link.mExcess);
                repeated |= link.mConsecutiveLong >= CONSECUTIVE;
            }
        }
        boolean isSaturated = saturated * 2 > known && (saturated > 1 || repeated);
        if (isSaturated) {
            return halveOncePerRoundTrip(now, known, smallestExcess);
        }
        if (mUsedBytesPerSecond >= mBytesPerSecond * USED_RATIO) {
            boolean isFree = known > 0 && saturated * 2 <= known;
            mBytesPerSecond += isFree ? INCREASE_PER_SECOND * elapsed / NANOSECONDS_PER_SECOND : 0;
        } else if (mBytesPerSecond > INITIAL_BYTES_PER_SECOND) {
            mBytesPerSecond -=
                    (mBytesPerSecond - INITIAL_BYTES_PER_SECOND)
                            * Math.min(1, elapsed / UNUSED_NANOSECONDS);
        }
        return 0;
    }

    /**
     * Halves the rate if most links have sent a ping since it was last halved; earlier round trips
     * do not show the effect. A rate that is not used is halved from what is used, because the
     * reduction would have no effect otherwise.
     */
    private long halveOncePerRoundTrip(long now, int known, long excess) {
        int later = 0;
        for (LinkSample link : mLinks.values()) {
            boolean isNew =
                    now - link.mReceivedNanoseconds <= WINDOW_NANOSECONDS
                            && link.mSentNanoseconds - mHalvedNanoseconds >= 0;
            later += isNew && link.mExcess > SATURATION_NANOSECONDS ? 1 : 0;
        }
        if (later * 2 <= known) {
            return 0;
        }
        double used = Math.max(mUsedBytesPerSecond, INITIAL_BYTES_PER_SECOND);
        mBytesPerSecond = Math.max(MIN_BYTES_PER_SECOND, Math.min(mBytesPerSecond, used) / 2);
        mHalvedNanoseconds = now;
        return excess;
    }

    private void drain(long now) {
        double drained = (now - mDrainedNanoseconds) / NANOSECONDS_PER_SECOND * mBytesPerSecond;
        mBacklogBytes = Math.max(0, mBacklogBytes - drained);
        mDrainedNanoseconds = now;
    }

    private double smallestMinimum() {
        double smallest = Long.MAX_VALUE;
        for (LinkSample link : mLinks.values()) {
            smallest = Math.min(smallest, link.mMinimum);
        }
        return smallest;
    }
}
