package org.foxtailmoor.core.home;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.core.distribution.ViewLease;
import org.foxtailmoor.core.routing.EpochClock;
import org.foxtailmoor.core.routing.IdempotencyKey;
import org.foxtailmoor.core.routing.KeyHome;
import org.foxtailmoor.core.routing.RoutingSnapshotBuilder;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class HomeTermsTest {
    private static final List<String> ONLY_ME = List.of("me");
    private static final List<String> BOTH = List.of("me", "other");

    private final MockTicker mTicker = Ticker.newMockTicker();
    private final EpochClock mClock = EpochClock.of(mTicker, 1_000_000_000L);
    private ViewLease mLease = ViewLease.NONE;
    private final HomeTerms mTerms = HomeTerms.of(mClock, "me", () -> mLease);

    private void advance(long milliseconds) {
        mTicker.advance(milliseconds, TimeUnit.MILLISECONDS);
    }

    /** Returns a key whose home with the members BOTH is "me" or "other". */
    private IdempotencyKey key(boolean homeIsMe, long createdMilliseconds) {
        for (int i = 0; ; i++) {
            IdempotencyKey key = new IdempotencyKey("key-" + i, createdMilliseconds);
            if ("me".equals(KeyHome.of(key, BOTH)) == homeIsMe) {
                return key;
            }
        }
    }

    /** Returns a key whose home is "other" while that is a member. */
    private IdempotencyKey keyOfOther(long createdMilliseconds) {
        return key(false, createdMilliseconds);
    }

    private void applyView(long version, List<String> members) {
        mTerms.update(RoutingSnapshotBuilder.version(version), members);
    }

    private void grantLease(long version, long milliseconds) {
        long until = mTicker.nanoTime() + TimeUnit.MILLISECONDS.toNanos(milliseconds);
        mLease = new ViewLease(RoutingSnapshotBuilder.version(version), true, until, 0);
        mTerms.tick();
    }

    @Nested
    class Lease {
        /** Guards against a paused home that resumes and runs a key which the new home has run. */
        @Test
        void homeWithoutLeaseForItsViewRunsNoKey() {
            applyView(1, ONLY_ME);
            advance(10_000);
            IdempotencyKey key = keyOfOther(mClock.milliseconds());
            assertThat(mTerms.refusalReason(key)).isEqualTo(ErrorKind.HOME_UNAVAILABLE);
            grantLease(2, 3_000);
            assertThat(mTerms.refusalReason(key)).isEqualTo(ErrorKind.HOME_UNAVAILABLE);
            grantLease(1, 3_000);
            advance(5_000);
            assertThat(mTerms.refusalReason(key)).isEqualTo(ErrorKind.HOME_UNAVAILABLE);
        }

        @Test
        void nodeThatIsNotTheHomeOfAKeyDoesNotRunIt() {
            applyView(1, BOTH);
            grantLease(1, 60_000);
            advance(10_000);
            assertThat(mTerms.refusalReason(keyOfOther(mClock.milliseconds())))
                    .isEqualTo(ErrorKind.HOME_UNAVAILABLE);
            assertThat(mTerms.refusalReason(key(true, mClock.milliseconds()))).isNull();
        }
    }

    @Nested
    class Term {
        /**
         * Guards against a restarted process that again runs keys which it ran before the restart.
         */
        @Test
        void keysFromBeforeTheStartAndGuardIntervalHaveAnUnknownOutcome() {
            applyView(1, ONLY_ME);
            grantLease(1, 60_000);
            long start = mClock.milliseconds();
            advance(10_000);
            assertThat(mTerms.refusalReason(keyOfOther(start + 4_999)))
                    .isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
            assertThat(mTerms.refusalReason(keyOfOther(start + 5_000))).isNull();
            assertThat(mTerms.refusalReason(keyOfOther(start + 12_001)))
                    .isEqualTo(ErrorKind.KEY_INVALID);
            mTerms.ready();
            assertThat(mTerms.refusalReason(keyOfOther(start + 10_000)))
                    .isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
        }

        /** Guards against a new home that runs keys which the previous home has run. */
        @Test
        void termStartsWithTheChangeThatAssignsTheKeyToThisHome() {
            applyView(1, BOTH);
            grantLease(1, 60_000);
            advance(20_000);
            applyView(2, ONLY_ME);
            grantLease(2, 60_000);
            long change = mClock.milliseconds();
            advance(10_000);
            assertThat(mTerms.refusalReason(keyOfOther(change + 4_999)))
                    .isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
            assertThat(mTerms.refusalReason(keyOfOther(change + 5_000))).isNull();
            assertThat(mTerms.refusalReason(key(true, change + 4_999))).isNull();
        }

        /** Guards against a previous home that still holds a lease for the older view. */
        @Test
        void termStartsWithTheFirstLeaseAfterTheChange() {
            applyView(1, BOTH);
            grantLease(1, 60_000);
            advance(20_000);
            applyView(2, ONLY_ME);
            advance(10_000);
            long created = mClock.milliseconds();
            grantLease(2, 60_000);
            assertThat(mTerms.refusalReason(keyOfOther(created)))
                    .isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
            advance(5_000);
            assertThat(mTerms.refusalReason(keyOfOther(created + 5_000))).isNull();
        }

        /**
         * Guards against views missed in a pause, in which the key had another home for a while.
         */
        @Test
        void termRestartsIfTheLeaseLapsedBeforeTheLeaseOfTheNextView() {
            applyView(1, ONLY_ME);
            grantLease(1, 3_000);
            advance(20_000);
            applyView(9, ONLY_ME);
            grantLease(9, 60_000);
            long resumed = mClock.milliseconds();
            assertThat(mTerms.refusalReason(keyOfOther(resumed)))
                    .isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
            applyView(10, ONLY_ME);
            grantLease(10, 60_000);
            advance(6_000);
            assertThat(mTerms.refusalReason(keyOfOther(resumed + 5_000))).isNull();
        }

        @Test
        void keyOlderThanTheMaximumAgeIsNotRun() {
            applyView(1, ONLY_ME);
            advance(TimeUnit.HOURS.toMillis(30));
            grantLease(1, 3_000);
            mTerms.refusalReason(keyOfOther(0));
            long oldest = mClock.milliseconds() - IdempotencyKeyStore.MAX_KEY_AGE_MILLISECONDS;
            assertThat(mTerms.refusalReason(keyOfOther(oldest - 1)))
                    .isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
        }
    }
}
