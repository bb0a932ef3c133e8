package org.foxtailmoor.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class EventLoopLagTest {
    private static final long TICK_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(20);

    private final MockTicker mTicker = Ticker.newMockTicker();
    private final EventLoopLag mLag = new EventLoopLag(mTicker);

    @Test
    void lagExceedsTheLimitFromAnOverdueTickUntilItRuns() {
        mLag.tickScheduled(TICK_NANOSECONDS);
        mTicker.advance(100, TimeUnit.MILLISECONDS);
        assertThat(mLag.exceedsLimit()).isFalse();
        mTicker.advance(1, TimeUnit.MILLISECONDS);
        assertThat(mLag.exceedsLimit()).isTrue();
        mLag.tickScheduled(TICK_NANOSECONDS);
        assertThat(mLag.exceedsLimit()).isFalse();
    }

    /**
     * Simulates the first seconds after a restart under load: 120 requests per second arrive. A
     * request takes 14 ms at first and 2 ms after 400 requests; a refusal takes 1 ms. Guards
     * against a loop in which every request waits longer than the objective of 300 ms.
     */
    @Test
    void loopOfAColdProcessServesAcceptedRequestsOnTime() {
        assertThat(countLateAnswers(true)).as("with refusals").isZero();
        assertThat(countLateAnswers(false)).as("without refusals").isGreaterThan(100);
    }

    private int countLateAnswers(boolean refuseOverLimit) {
        Deque<Long> arrived = new ArrayDeque<>();
        long start = mTicker.nanoTime();
        long nextArrival = start;
        int served = 0;
        int late = 0;
        mLag.tickScheduled(TICK_NANOSECONDS);
        while (mTicker.nanoTime() - start < TimeUnit.SECONDS.toNanos(8)) {
            // One iteration of the loop handles the requests that have arrived, then runs the tick.
            while (nextArrival - mTicker.nanoTime() <= 0) {
                arrived.add(nextArrival);
                nextArrival += TimeUnit.SECONDS.toNanos(1) / 120;
            }
            int ready = arrived.size();
            for (int i = 0; i < ready; i++) {
                long since = arrived.remove();
                if (refuseOverLimit && mLag.exceedsLimit()) {
                    mTicker.advance(1, TimeUnit.MILLISECONDS);
                    continue;
                }
                mTicker.advance(Math.max(2, 14 - served / 33), TimeUnit.MILLISECONDS);
                served++;
                late += mTicker.nanoTime() - since > TimeUnit.MILLISECONDS.toNanos(300) ? 1 : 0;
            }
            mTicker.advance(1, TimeUnit.MILLISECONDS);
            mLag.tickScheduled(TICK_NANOSECONDS);
        }
        return late;
    }
}
