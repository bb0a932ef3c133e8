package org.foxtailmoor.base;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class TokenBucketTest {
    private final MockTicker mTicker = Ticker.newMockTicker();

    @Nested
    class Taking {
        /** Guards against exceeding the burst after a long idle time. */
        @Test
        void neverExceedsTheBurst() {
            TokenBucket bucket = TokenBucket.of(mTicker, 10, 3);
            mTicker.advance(1, TimeUnit.HOURS);
            assertThat(bucket.tryTake(3)).isTrue();
            assertThat(bucket.tryTake(0.01)).isFalse();
            bucket.give(100);
            assertThat(bucket.available()).isEqualTo(3);
        }

        /** Guards against a refused use that still takes tokens. */
        @Test
        void takesNothingWhenRefused() {
            TokenBucket bucket = TokenBucket.of(mTicker, 0, 2);
            assertThat(bucket.tryTake(3)).isFalse();
            assertThat(bucket.available()).isEqualTo(2);
        }

        /** Guards against a rate that drifts when the bucket is asked often. */
        @Test
        void accruesAtTheRate() {
            TokenBucket bucket = TokenBucket.of(mTicker, 100, 1);
            int taken = 0;
            for (int millisecond = 0; millisecond < 10_000; millisecond++) {
                taken += bucket.tryTake(1) ? 1 : 0;
                mTicker.advance(1, TimeUnit.MILLISECONDS);
            }
            assertThat(taken).isBetween(900, 1_001);
        }
    }

    @Nested
    class Waiting {
        /** Guards against callers that retry too early or wait forever. */
        @Test
        void returnsTheTimeUntilTokensAreAvailable() {
            TokenBucket bucket = TokenBucket.of(mTicker, 4, 2);
            assertThat(bucket.nanosecondsUntil(2)).isZero();
            bucket.tryTake(2);
            long wait = bucket.nanosecondsUntil(1);
            assertThat(wait).isEqualTo(TimeUnit.MILLISECONDS.toNanos(250));
            mTicker.advance(wait, TimeUnit.NANOSECONDS);
            assertThat(bucket.tryTake(1)).isTrue();
            assertThat(bucket.nanosecondsUntil(2.5)).isEqualTo(Long.MAX_VALUE);
        }
    }

    @Nested
    class Resizing {
        /** Guards against tokens that exceed a reduced burst. */
        @Test
        void discardsTokensAboveTheNewBurst() {
            TokenBucket bucket = TokenBucket.of(mTicker, 1, 10);
            bucket.resize(0, 4);
            mTicker.advance(1, TimeUnit.MINUTES);
            assertThat(bucket.available()).isEqualTo(4);
            assertThat(bucket.nanosecondsUntil(5)).isEqualTo(Long.MAX_VALUE);
        }
    }

    /** Guards against a bucket that refuses everything because its count is not a number. */
    @ParameterizedTest
    @ValueSource(doubles = {-1, Double.NaN, Double.POSITIVE_INFINITY})
    void rejectsInvalidRates(double rate) {
        assertThatThrownBy(() -> TokenBucket.of(mTicker, rate, 1))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("tokensPerSecond");
    }
}
