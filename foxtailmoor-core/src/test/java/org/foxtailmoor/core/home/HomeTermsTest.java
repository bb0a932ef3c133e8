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
    private static final List<String> ALONE = List.of("me");
    private static final List<String> BOTH = List.of("me", "other");

    private final MockTicker mTicker = Ticker.newMockTicker();
    private final EpochClock mClock = EpochClock.of(mTicker, 1_000_000_000L);
    private ViewLease mLease = ViewLease.NONE;
    private final HomeTerms mTerms = HomeTerms.of(mClock, "me", () -> mLease);

    private void advance(long milliseconds) {
        mTicker.advance(milliseconds, TimeUnit.MILLISECONDS);
    }

    /** Returns a key whose home is "me" with BOTH exactly if wanted. */
    private IdempotencyKey key(boolean mineWithBoth, long createdMilliseconds) {
        for (int i = 0; ; i++) {
            IdempotencyKey key = new IdempotencyKey("key-" + i, createdMilliseconds);
            if ("me".equals(KeyHome.of(key, BOTH)) == mineWithBoth) {
                return key;
            }
        }
    }

    private IdempotencyKey moved(long createdMilliseconds) {
        return key(false, createdMilliseconds);
    }

    private void see(long version, List<String> members) {
        mTerms.update(RoutingSnapshotBuilder.version(version), members);
    }

    private void lease(long version, long milliseconds) {
        long until = mTicker.nanoTime() + TimeUnit.MILLISECONDS.toNanos(milliseconds);
        mLease = new ViewLease(RoutingSnapshotBuilder.version(version), true, until, 0);
        mTerms.tick();
    }

    @Nested
    class Lease {
        /** Guards against a paused home that runs a key which the next home has run. */
        @Test
        void homeWithoutLeaseForItsViewRunsNoKey() {
            see(1, ALONE);
            advance(10_000);
            IdempotencyKey key = moved(mClock.milliseconds());
            assertThat(mTerms.obstacle(key)).isEqualTo(ErrorKind.HOME_UNAVAILABLE);
            lease(2, 3_000);
            assertThat(mTerms.obstacle(key)).isEqualTo(ErrorKind.HOME_UNAVAILABLE);
            lease(1, 3_000);
            advance(5_000);
            assertThat(mTerms.obstacle(key)).isEqualTo(ErrorKind.HOME_UNAVAILABLE);
        }

        @Test
        void homeThatIsNotTheKeysHomeRunsItNot() {
            see(1, BOTH);
            lease(1, 60_000);
            advance(10_000);
            assertThat(mTerms.obstacle(moved(mClock.milliseconds())))
                    .isEqualTo(ErrorKind.HOME_UNAVAILABLE);
            assertThat(mTerms.obstacle(key(true, mClock.milliseconds()))).isNull();
        }
    }

    @Nested
    class Term {
        /** Guards against a restarted process that runs the keys of its earlier run again. */
        @Test
        void keysFromBeforeTheStartAndItsGuardHaveAnUnknownOutcome() {
            see(1, ALONE);
            lease(1, 60_000);
            long start = mClock.milliseconds();
            advance(10_000);
            assertThat(mTerms.obstacle(moved(start + 4_999))).isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
            assertThat(mTerms.obstacle(moved(start + 5_000))).isNull();
            assertThat(mTerms.obstacle(moved(start + 12_001))).isEqualTo(ErrorKind.KEY_INVALID);
            mTerms.ready();
            assertThat(mTerms.obstacle(moved(start + 10_000))).isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
        }

        /** Guards against a new home that runs what the former home has run. */
        @Test
        void termStartsWithTheChangeThatMovedTheKeyHere() {
            see(1, BOTH);
            lease(1, 60_000);
            advance(20_000);
            see(2, ALONE);
            lease(2, 60_000);
            long change = mClock.milliseconds();
            advance(10_000);
            assertThat(mTerms.obstacle(moved(change + 4_999))).isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
            assertThat(mTerms.obstacle(moved(change + 5_000))).isNull();
            assertThat(mTerms.obstacle(key(true, change + 4_999))).isNull();
        }

        /** Guards against a former home whose lease for the older view still holds. */
        @Test
        void termStartsWithTheFirstLeaseAfterTheChange() {
            see(1, BOTH);
            lease(1, 60_000);
            advance(20_000);
            see(2, ALONE);
            advance(10_000);
            long created = mClock.milliseconds();
            lease(2, 60_000);
            assertThat(mTerms.obstacle(moved(created))).isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
            advance(5_000);
            assertThat(mTerms.obstacle(moved(created + 5_000))).isNull();
        }

        /** Guards against versions missed in a pause, in which the key moved away and back. */
        @Test
        void termStartsAgainIfTheLeaseEndedBeforeTheNextViewsLease() {
            see(1, ALONE);
            lease(1, 3_000);
            advance(20_000);
            see(9, ALONE);
            lease(9, 60_000);
            long resumed = mClock.milliseconds();
            assertThat(mTerms.obstacle(moved(resumed))).isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
            see(10, ALONE);
            lease(10, 60_000);
            advance(6_000);
            assertThat(mTerms.obstacle(moved(resumed + 5_000))).isNull();
        }

        @Test
        void keyOlderThanTheLedgersMemoryIsNotRun() {
            see(1, ALONE);
            advance(TimeUnit.HOURS.toMillis(30));
            lease(1, 3_000);
            mTerms.obstacle(moved(0));
            long day = mClock.milliseconds() - KeyLedger.KEY_AGE_LIMIT_MILLISECONDS;
            assertThat(mTerms.obstacle(moved(day - 1))).isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
        }
    }
}
