package org.foxtailmoor.node.data;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against requests that start in a shutdown although it would break them off. */
class ShutdownWindowTest {
    private static final long STEP_MILLISECONDS = 50;
    private static final long MARGIN_MILLISECONDS =
            TimeUnit.NANOSECONDS.toMillis(ShutdownWindow.ANSWER_MARGIN_NANOSECONDS);
    private static final long MAX_OPEN_MILLISECONDS =
            TimeUnit.NANOSECONDS.toMillis(ShutdownWindow.MAX_OPEN_NANOSECONDS);

    private final MockTicker mTicker = Ticker.newMockTicker();
    private final ShutdownWindow mWindow = new ShutdownWindow(mTicker);

    private long after(long milliseconds) {
        return mTicker.nanoTime() + TimeUnit.MILLISECONDS.toNanos(milliseconds);
    }

    @Test
    void everyRequestMayStartBeforeTheShutdown() {
        assertThat(mWindow.allows(after(1_000_000))).isTrue();
        assertThat(mWindow.endsInTime(after(1_000_000))).isTrue();
        assertThat(mWindow.hasEnded()).isFalse();
    }

    @Test
    void requestThatStartsAfterTheFirstPartEndsBeforeTheCut() {
        for (long timeout : new long[] {4_583, 5_500, 9_167, 30_000}) {
            ShutdownWindow window = new ShutdownWindow(mTicker);
            window.start(after(timeout));
            long open = Math.min(timeout / 2, MAX_OPEN_MILLISECONDS);
            long elapsed = 0;
            while (elapsed < timeout) {
                assertThat(window.hasEnded()).isFalse();
                for (long deadline = 200; deadline <= 10_000; deadline += 100) {
                    boolean inTime = elapsed + deadline + MARGIN_MILLISECONDS <= timeout;
                    assertThat(window.endsInTime(after(deadline))).isEqualTo(inTime);
                    assertThat(window.allows(after(deadline)))
                            .as("timeout %d elapsed %d deadline %d", timeout, elapsed, deadline)
                            .isEqualTo(elapsed <= open || inTime);
                }
                mTicker.advance(STEP_MILLISECONDS, TimeUnit.MILLISECONDS);
                elapsed += STEP_MILLISECONDS;
            }
            assertThat(window.hasEnded()).isTrue();
        }
    }
}
