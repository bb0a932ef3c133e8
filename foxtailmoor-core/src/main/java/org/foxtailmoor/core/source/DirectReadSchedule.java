package org.foxtailmoor.core.source;

import io.netty.util.concurrent.Ticker;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Decides when a node may read the store itself, so that few nodes of a region do so at the same
 * time whatever fails. Confined to the control loop.
 */
final class DirectReadSchedule {
    /** Whether a node reaches its peers. */
    enum Reach {
        /** At least one responds or has not been asked. */
        SOME,

        /** All have failed or are late; the link of the node itself may be full. */
        LATE,

        /** All have failed. */
        NONE
    }

    /** Highest rank of the nodes that replace an outdated first node of their region. */
    static final int LAST_STANDBY_RANK = 3;

    /**
     * Time in which a standby reader can read whole values over a narrow link before the next one
     * joins it.
     */
    static final long STANDBY_DELAY_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(400);

    /** Time after which the nodes behind the standby readers read the store. */
    static final long LAST_RESORT_NANOSECONDS = TimeUnit.SECONDS.toNanos(5);

    /** Delay for each of them, so that one after another may read whole values. */
    private static final long LAST_RESORT_PER_RANK_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Delay for each rank before a node that reaches none of its peers reads the store. */
    private static final long ISOLATED_DELAY_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(100);

    static final int MAX_ISOLATED_RANK = 6;

    /**
     * Time that late responses of all peers have before the store is read. On a full link they are
     * under way, and whole values would delay them further.
     */
    static final long LATE_DELAY_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(1_100);

    static final long JITTER_PER_RANK_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(50);

    /** Time that the peers of a node without items have before it reads the store. */
    static final long COLD_DELAY_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);

    /**
     * The same time for a node that is not in the listing. When the whole fleet starts, the targets
     * register during the first seconds.
     */
    static final long UNLISTED_DELAY_NANOSECONDS = TimeUnit.SECONDS.toNanos(4);

    static final long COLD_DELAY_PER_RANK_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(50);

    static final long MIN_PAUSE_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);

    /** Pause for each known node after a failed read; limits the calls of the fleet. */
    static final long PAUSE_PER_NODE_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(10);

    private final Ticker mTicker;
    private final RandomGenerator mRandom;
    private boolean mSeeking;
    private long mSeekingSinceNanoseconds;
    private long mJitterNanoseconds;
    private long mPauseEndNanoseconds;
    private long mPeersFoundNanoseconds;

    DirectReadSchedule(Ticker ticker, RandomGenerator random) {
        mTicker = ticker;
        mRandom = random;
        mPauseEndNanoseconds = ticker.nanoTime();
        mPeersFoundNanoseconds = ticker.nanoTime();
    }

    /** Records that the node has found its peers; from now on they can give it the items. */
    void onPeersFound() {
        mPeersFoundNanoseconds = mTicker.nanoTime();
    }

    /** Records that the source in use is outdated, late or has failed. */
    void onSourceLost(int rank) {
        if (!mSeeking) {
            mSeeking = true;
            mSeekingSinceNanoseconds = mTicker.nanoTime();
            int steps = Math.min(rank, MAX_ISOLATED_RANK);
            mJitterNanoseconds = mRandom.nextLong(1 + JITTER_PER_RANK_NANOSECONDS * steps);
        }
    }

    /** Returns whether the source in use was lost and no current one has been found since then. */
    boolean isSeeking() {
        return mSeeking;
    }

    /** Records that the source in use is current. */
    void onCurrentSource() {
        mSeeking = false;
    }

    /** Records that a read of the store has failed. */
    void onFailure(int fleetSize) {
        long pause = Math.max(MIN_PAUSE_NANOSECONDS, fleetSize * PAUSE_PER_NODE_NANOSECONDS);
        mPauseEndNanoseconds = mTicker.nanoTime() + pause / 2 + mRandom.nextLong(pause);
    }

    /**
     * Returns whether the node may read the store.
     *
     * @param order place of the node among the others
     * @param complete whether the node has all items
     * @param reach whether the node reaches its peers
     */
    boolean isDue(ReadOrder order, boolean complete, Reach reach) {
        if (order.rank() == 0 && order.listed()) {
            return true;
        }
        long now = mTicker.nanoTime();
        if (now - mPauseEndNanoseconds < 0) {
            return false;
        }
        if (complete) {
            return !mSeeking || now - mSeekingSinceNanoseconds >= delay(order.rank(), reach);
        }
        long base = order.listed() ? COLD_DELAY_NANOSECONDS : UNLISTED_DELAY_NANOSECONDS;
        long delay = base + order.rank() * COLD_DELAY_PER_RANK_NANOSECONDS;
        return now - mPeersFoundNanoseconds - delay >= 0;
    }

    /**
     * Returns the time from the loss of the source to a read of the store by a node that has all
     * items.
     */
    private long delay(int rank, Reach reach) {
        if (reach == Reach.NONE) {
            return ISOLATED_DELAY_NANOSECONDS * Math.min(rank, MAX_ISOLATED_RANK)
                    + mJitterNanoseconds;
        }
        if (rank <= LAST_STANDBY_RANK) {
            return STANDBY_DELAY_NANOSECONDS * (rank - 1);
        }
        if (reach == Reach.LATE) {
            return LATE_DELAY_NANOSECONDS + mJitterNanoseconds;
        }
        return LAST_RESORT_NANOSECONDS
                + LAST_RESORT_PER_RANK_NANOSECONDS * (rank - LAST_STANDBY_RANK - 1);
    }
}
