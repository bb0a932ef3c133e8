package org.foxtailmoor.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class LoopBacklogTest {
    private static final long TICK = TimeUnit.MILLISECONDS.toNanos(20);

    private final MockTicker mTicker = Ticker.newMockTicker();
    private final LoopBacklog mBacklog = new LoopBacklog(mTicker);

    @Test
    void loopWithOverdueTickIsBehindUntilTheTickRuns() {
        mBacklog.scheduled(TICK);
        mTicker.advance(100, TimeUnit.MILLISECONDS);
        assertThat(mBacklog.isBehind()).isFalse();
        mTicker.advance(1, TimeUnit.MILLISECONDS);
        assertThat(mBacklog.isBehind()).isTrue();
        mBacklog.scheduled(TICK);
        assertThat(mBacklog.isBehind()).isFalse();
    }

    /**
     * Replays the first seconds after a restart under load: 120 requests a second arrive, and one
     * takes 14 ms at first, 2 ms after 400, and 1 ms to refuse. Guards against a loop in which all
     * work waits longer than the objective of 300 ms.
     */
    @Test
    void coldLoopServesWhatItAcceptsOnTime() {
        assertThat(lateAnswers(true)).as("with refusals").isZero();
        assertThat(lateAnswers(false)).as("without refusals").isGreaterThan(100);
    }

    private int lateAnswers(boolean refusing) {
        Deque<Long> arrived = new ArrayDeque<>();
        long start = mTicker.nanoTime();
        long nextArrival = start;
        int served = 0;
        int late = 0;
        mBacklog.scheduled(TICK);
        while (mTicker.nanoTime() - start < TimeUnit.SECONDS.toNanos(8)) {
            // One turn of the loop reads what has arrived, then runs the tick.
            while (nextArrival - mTicker.nanoTime() <= 0) {
                arrived.add(nextArrival);
                nextArrival += TimeUnit.SECONDS.toNanos(1) / 120;
            }
            int ready = arrived.size();
            for (int i = 0; i < ready; i++) {
                long since = arrived.remove();
                if (refusing && mBacklog.isBehind()) {
                    mTicker.advance(1, TimeUnit.MILLISECONDS);
                    continue;
                }
                mTicker.advance(Math.max(2, 14 - served / 33), TimeUnit.MILLISECONDS);
                served++;
                late += mTicker.nanoTime() - since > TimeUnit.MILLISECONDS.toNanos(300) ? 1 : 0;
            }
            mTicker.advance(1, TimeUnit.MILLISECONDS);
            mBacklog.scheduled(TICK);
        }
        return late;
    }
}
