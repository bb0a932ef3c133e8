package org.foxtailmoor.core.source;

import io.netty.util.concurrent.Ticker;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/** Decides when a node without items looks for its peers. Confined to the control loop. */
final class PeerSearch {
    /** Pause for each known node after which peers are looked for again. */
    static final long PAUSE_PER_NODE_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(10);

    static final long FAILURE_PAUSE_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(200);

    /**
     * Time after which a node without items looks for peers again. When the whole fleet starts, the
     * first listings have few instances or none.
     */
    static final long REPEAT_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(700);

    private final Ticker mTicker;
    private final RandomGenerator mRandom;
    private long mNextNanoseconds;
    private boolean mFound;

    PeerSearch(Ticker ticker, RandomGenerator random) {
        mTicker = ticker;
        mRandom = random;
        mNextNanoseconds = ticker.nanoTime();
    }

    /** Returns whether the first page of the instances is to be read. */
    boolean isDue() {
        return mTicker.nanoTime() - mNextNanoseconds >= 0;
    }

    /** Returns whether a page of the instances has been read. */
    boolean hasFound() {
        return mFound;
    }

    /** Records the size of the first page of the instances. */
    void onPage(int size) {
        mFound = true;
        pause(REPEAT_NANOSECONDS + size * PAUSE_PER_NODE_NANOSECONDS);
    }

    /** Records a failed read of the instances. */
    void onFailure() {
        pause(FAILURE_PAUSE_NANOSECONDS);
    }

    private void pause(long nanoseconds) {
        mNextNanoseconds = mTicker.nanoTime() + nanoseconds / 2 + mRandom.nextLong(nanoseconds);
    }
}
