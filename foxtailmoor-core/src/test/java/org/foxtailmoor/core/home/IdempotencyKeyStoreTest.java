package org.foxtailmoor.core.home;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.core.routing.IdempotencyKey;
import org.junit.jupiter.api.Test;

class IdempotencyKeyStoreTest {
    private static final Fingerprint ORDER = new Fingerprint(1, 2);
    private static final IdempotencyKey KEY = new IdempotencyKey("key", 0);

    private final MockTicker mTicker = Ticker.newMockTicker();
    private final IdempotencyKeyStore mStore = IdempotencyKeyStore.of(mTicker);

    private static StoredAnswer answer(int bytes) {
        return new StoredAnswer(200, List.of(), new byte[bytes]);
    }

    private static IdempotencyKey key(int number) {
        return new IdempotencyKey("key-" + number, 0);
    }

    @Test
    void answerUpToTheMaximumSizeIsStored() {
        mStore.begin(KEY, ORDER);
        mStore.begin(key(1), ORDER);
        mStore.finish(KEY, answer(IdempotencyKeyStore.MAX_ANSWER_BYTES));
        mStore.finish(key(1), answer(IdempotencyKeyStore.MAX_ANSWER_BYTES + 1));
        assertThat(mStore.outcome(KEY, ORDER)).isEqualTo(KeyOutcome.DONE);
        assertThat(mStore.answer(KEY).body()).hasSize(IdempotencyKeyStore.MAX_ANSWER_BYTES);
        assertThat(mStore.outcome(key(1), ORDER)).isEqualTo(KeyOutcome.DONE_WITHOUT_ANSWER);
    }

    /** Guards invariant 4: a key reused for another request must not get the first one's answer. */
    @Test
    void differentRequestWithTheSameKeyIsDetected() {
        mStore.begin(KEY, ORDER);
        mStore.finish(KEY, answer(1));
        assertThat(mStore.outcome(KEY, new Fingerprint(1, 3)))
                .isEqualTo(KeyOutcome.DIFFERENT_REQUEST);
    }

    @Test
    void onlyRunningKeysCanBeDiscarded() {
        mStore.begin(KEY, ORDER);
        mStore.discard(KEY);
        assertThat(mStore.outcome(KEY, ORDER)).isEqualTo(KeyOutcome.NEW);
        mStore.begin(KEY, ORDER);
        mStore.markUnknown(KEY);
        mStore.discard(KEY);
        mStore.finish(KEY, answer(1));
        assertThat(mStore.outcome(KEY, ORDER)).isEqualTo(KeyOutcome.UNKNOWN);
    }

    /** Guards against evicting a key that has run and is not older than the new key. */
    @Test
    void fullStoreRefusesNewKeysUntilTheOldestExpire() {
        for (int i = 0; i < IdempotencyKeyStore.KEY_LIMIT; i++) {
            assertThat(mStore.begin(key(i), ORDER)).isTrue();
            mStore.finish(key(i), answer(10));
        }
        assertThat(mStore.begin(KEY, ORDER)).isFalse();
        mTicker.advance(24, TimeUnit.HOURS);
        mStore.tick();
        assertThat(mStore.outcome(key(0), ORDER)).isEqualTo(KeyOutcome.DONE);
        mTicker.advance(10, TimeUnit.SECONDS);
        mStore.tick();
        assertThat(mStore.begin(KEY, ORDER)).isTrue();
        assertThat(mStore.size()).isEqualTo(1);
    }

    /**
     * Guards against a home that refuses all keyed requests for the rest of a day after 20,000
     * keys, and against running an evicted key again.
     */
    @Test
    void fullStoreAcceptsYoungerKeysAndNeverRunsEvictedOnes() {
        for (int i = 0; i <= IdempotencyKeyStore.KEY_LIMIT; i++) {
            IdempotencyKey key = new IdempotencyKey("key-" + i, i);
            assertThat(mStore.begin(key, ORDER)).isTrue();
            mStore.finish(key, answer(10));
        }
        IdempotencyKey evicted = new IdempotencyKey("key-0", 0);
        IdempotencyKey sameTime = new IdempotencyKey("other", 0);
        assertThat(mStore.size()).isEqualTo(IdempotencyKeyStore.KEY_LIMIT);
        assertThat(mStore.outcome(evicted, ORDER)).isEqualTo(KeyOutcome.UNKNOWN);
        assertThat(mStore.begin(evicted, ORDER)).isFalse();
        assertThat(mStore.outcome(sameTime, ORDER)).isEqualTo(KeyOutcome.UNKNOWN);
        assertThat(mStore.outcome(new IdempotencyKey("key-1", 1), ORDER))
                .isEqualTo(KeyOutcome.DONE);
    }

    @Test
    void oldestAnswersAreDroppedAtTheMaximumTotalSize() {
        int answers =
                IdempotencyKeyStore.MAX_TOTAL_ANSWER_BYTES / IdempotencyKeyStore.MAX_ANSWER_BYTES;
        for (int i = 0; i <= answers; i++) {
            mStore.begin(key(i), ORDER);
            mStore.finish(key(i), answer(IdempotencyKeyStore.MAX_ANSWER_BYTES));
        }
        assertThat(mStore.outcome(key(0), ORDER)).isEqualTo(KeyOutcome.DONE_WITHOUT_ANSWER);
        assertThat(mStore.outcome(key(1), ORDER)).isEqualTo(KeyOutcome.DONE);
    }
}
