package org.foxtailmoor.core.home;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.core.routing.IdempotencyKey;
import org.junit.jupiter.api.Test;

class KeyLedgerTest {
    private static final Fingerprint ORDER = new Fingerprint(1, 2);
    private static final IdempotencyKey KEY = new IdempotencyKey("key", 0);

    private final MockTicker mTicker = Ticker.newMockTicker();
    private final KeyLedger mLedger = KeyLedger.of(mTicker);

    private static StoredAnswer answer(int bytes) {
        return new StoredAnswer(200, List.of(), new byte[bytes]);
    }

    private static IdempotencyKey key(int number) {
        return new IdempotencyKey("key-" + number, 0);
    }

    @Test
    void answerUpToTheLimitIsReplayed() {
        mLedger.begin(KEY, ORDER);
        mLedger.begin(key(1), ORDER);
        mLedger.finish(KEY, answer(KeyLedger.ANSWER_LIMIT_BYTES));
        mLedger.finish(key(1), answer(KeyLedger.ANSWER_LIMIT_BYTES + 1));
        assertThat(mLedger.outcome(KEY, ORDER)).isEqualTo(KeyOutcome.DONE);
        assertThat(mLedger.answer(KEY).body()).hasSize(KeyLedger.ANSWER_LIMIT_BYTES);
        assertThat(mLedger.outcome(key(1), ORDER)).isEqualTo(KeyOutcome.DONE_WITHOUT_ANSWER);
    }

    /** Guards invariant 4: a key used for another request does not get the first one's answer. */
    @Test
    void otherRequestWithTheSameKeyIsNoticed() {
        mLedger.begin(KEY, ORDER);
        mLedger.finish(KEY, answer(1));
        assertThat(mLedger.outcome(KEY, new Fingerprint(1, 3))).isEqualTo(KeyOutcome.OTHER_REQUEST);
    }

    @Test
    void onlyRunningKeysAreForgotten() {
        mLedger.begin(KEY, ORDER);
        mLedger.forget(KEY);
        assertThat(mLedger.outcome(KEY, ORDER)).isEqualTo(KeyOutcome.NEW);
        mLedger.begin(KEY, ORDER);
        mLedger.loseOutcome(KEY);
        mLedger.forget(KEY);
        mLedger.finish(KEY, answer(1));
        assertThat(mLedger.outcome(KEY, ORDER)).isEqualTo(KeyOutcome.UNKNOWN);
    }

    /** Guards against a full ledger that makes room by forgetting a key which has run. */
    @Test
    void fullLedgerRefusesNewKeysUntilOldOnesAreADayOld() {
        for (int i = 0; i < KeyLedger.KEY_LIMIT; i++) {
            assertThat(mLedger.begin(key(i), ORDER)).isTrue();
            mLedger.finish(key(i), answer(10));
        }
        assertThat(mLedger.begin(KEY, ORDER)).isFalse();
        mTicker.advance(24, TimeUnit.HOURS);
        mLedger.tick();
        assertThat(mLedger.outcome(key(0), ORDER)).isEqualTo(KeyOutcome.DONE);
        mTicker.advance(10, TimeUnit.SECONDS);
        mLedger.tick();
        assertThat(mLedger.begin(KEY, ORDER)).isTrue();
        assertThat(mLedger.size()).isEqualTo(1);
    }

    /**
     * Guards against a home that refuses all keyed work for the rest of a day after 20,000 keys,
     * and against running a forgotten key again.
     */
    @Test
    void fullLedgerTakesYoungerKeysAndNeverRunsForgottenOnes() {
        for (int i = 0; i <= KeyLedger.KEY_LIMIT; i++) {
            IdempotencyKey key = new IdempotencyKey("key-" + i, i);
            assertThat(mLedger.begin(key, ORDER)).isTrue();
            mLedger.finish(key, answer(10));
        }
        IdempotencyKey forgotten = new IdempotencyKey("key-0", 0);
        IdempotencyKey sameTime = new IdempotencyKey("other", 0);
        assertThat(mLedger.size()).isEqualTo(KeyLedger.KEY_LIMIT);
        assertThat(mLedger.outcome(forgotten, ORDER)).isEqualTo(KeyOutcome.UNKNOWN);
        assertThat(mLedger.begin(forgotten, ORDER)).isFalse();
        assertThat(mLedger.outcome(sameTime, ORDER)).isEqualTo(KeyOutcome.UNKNOWN);
        assertThat(mLedger.outcome(new IdempotencyKey("key-1", 1), ORDER))
                .isEqualTo(KeyOutcome.DONE);
    }

    @Test
    void oldestAnswersAreDroppedWhenTheirMemoryIsUsedUp() {
        int answers = KeyLedger.ANSWERS_LIMIT_BYTES / KeyLedger.ANSWER_LIMIT_BYTES;
        for (int i = 0; i <= answers; i++) {
            mLedger.begin(key(i), ORDER);
            mLedger.finish(key(i), answer(KeyLedger.ANSWER_LIMIT_BYTES));
        }
        assertThat(mLedger.outcome(key(0), ORDER)).isEqualTo(KeyOutcome.DONE_WITHOUT_ANSWER);
        assertThat(mLedger.outcome(key(1), ORDER)).isEqualTo(KeyOutcome.DONE);
    }
}
