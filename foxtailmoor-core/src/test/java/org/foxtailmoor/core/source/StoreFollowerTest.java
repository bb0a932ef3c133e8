package org.foxtailmoor.core.source;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class StoreFollowerTest {
    private static final Duration GRACE = Duration.ofMillis(1_500);

    private final MockTicker mTicker = Ticker.newMockTicker();
    private final StoreFollower mFollower =
            StoreFollower.of(mTicker, new Random(3), GRACE, Duration.ofSeconds(1));

    private static StoreItem item(String key, long revision, String value) {
        return new StoreItem(key, revision, ByteString.copyFromUtf8(value));
    }

    private void list(long revision, StoreItem... items) {
        advance(1_000);
        assertThat(mFollower.nextCall()).isEqualTo(new StoreFollower.Call.ListAfter(""));
        mFollower.onPage(new ItemStore.Page(List.of(items), false, revision));
    }

    private void watch(long revision, StoreItem... items) {
        assertThat(mFollower.nextCall()).isInstanceOf(StoreFollower.Call.WatchAfter.class);
        mFollower.onChanges(new ItemStore.Changes(List.of(items), revision));
    }

    private void fail(boolean historyLost) {
        advance(1_000);
        assertThat(mFollower.nextCall()).isNotNull();
        mFollower.onFailure(historyLost);
    }

    private void advance(long milliseconds) {
        mTicker.advance(milliseconds, TimeUnit.MILLISECONDS);
        mFollower.tick();
    }

    private String value(String key) {
        StoreItem item = mFollower.item(key);
        return item == null ? null : item.value().toStringUtf8();
    }

    @Nested
    class Calls {
        @Test
        void watchContinuesFromTheFirstPart() {
            assertThat(mFollower.nextCall()).isEqualTo(new StoreFollower.Call.ListAfter(""));
            assertThat(mFollower.nextCall()).as("one call at a time").isNull();
            mFollower.onPage(new ItemStore.Page(List.of(item("a", 3, "1")), true, 10));
            assertThat(mFollower.nextCall()).isEqualTo(new StoreFollower.Call.ListAfter("a"));
            assertThat(mFollower.isComplete()).isFalse();
            mFollower.onPage(new ItemStore.Page(List.of(item("b", 12, "1")), false, 12));
            assertThat(mFollower.isComplete()).isTrue();
            // A change between the parts may concern a key of the first part.
            assertThat(mFollower.nextCall()).isEqualTo(new StoreFollower.Call.WatchAfter(10));
        }

        /** Guards against a storm of calls to a store that is down. */
        @Test
        void failuresAreFollowedByGrowingBackoffs() {
            int calls = 0;
            for (int millisecond = 0; millisecond < 10_000; millisecond++) {
                advance(1);
                if (mFollower.nextCall() != null) {
                    calls++;
                    mFollower.onFailure(false);
                }
            }
            assertThat(calls).isBetween(14, 32);
        }

        /** Guards against a storm of changes of which every version crosses the regions' link. */
        @Test
        void largeChangesInQuickSuccessionAreReadOnlyInTheirNewestVersion() {
            String large = "x".repeat(StoreFollower.LARGE_BYTES + 1);
            list(5, item("a", 5, "1"));
            watch(6, item("a", 6, large + 6));
            watch(7, item("a", 7, large + 7));
            assertThat(mFollower.nextCall()).as("pause").isNull();
            advance(999);
            assertThat(mFollower.nextCall()).isNull();
            advance(1);
            assertThat(mFollower.nextCall()).isEqualTo(new StoreFollower.Call.ListAfter(""));
            mFollower.onPage(new ItemStore.Page(List.of(item("a", 11, large + 11)), false, 11));
            assertThat(value("a")).endsWith("11");
            advance(3_000);
            watch(12, item("a", 12, large));
            assertThat(mFollower.nextCall()).as("a single change").isNotNull();
        }

        @Test
        void lostHistoryIsReadAnew() {
            list(5, item("a", 2, "1"));
            fail(true);
            assertThat(mFollower.nextCall()).isEqualTo(new StoreFollower.Call.ListAfter(""));
        }

        @Test
        void failedWatchContinuesFromItsRevision() {
            list(5, item("a", 2, "1"));
            watch(9, item("a", 8, "2"));
            fail(false);
            advance(1_000);
            assertThat(mFollower.nextCall()).isEqualTo(new StoreFollower.Call.WatchAfter(9));
        }
    }

    @Nested
    class Order {
        /** Guards against a step back by a late or stale answer. */
        @Test
        void olderRevisionChangesNothing() {
            list(5, item("a", 5, "new"));
            mFollower.takeChanged();
            watch(6, item("a", 4, "old"));
            assertThat(value("a")).isEqualTo("new");
            assertThat(mFollower.takeChanged()).isEmpty();
        }

        /** Guards against the return of a removed item by an answer that was read before. */
        @Test
        void removedItemDoesNotReturnWithAnOlderRevision() {
            list(5, item("a", 5, "1"));
            watch(7, StoreItem.removed("a", 7));
            advance(2_000);
            assertThat(value("a")).isNull();
            watch(8, item("a", 6, "2"));
            assertThat(value("a")).isNull();
            watch(9, item("a", 9, "3"));
            assertThat(value("a")).isEqualTo("3");
        }
    }

    @Nested
    class Removals {
        @Test
        void removedItemStaysForTheGrace() {
            list(5, item("a", 5, "1"));
            watch(7, StoreItem.removed("a", 7));
            advance(1_400);
            assertThat(value("a")).isEqualTo("1");
            mFollower.takeChanged();
            advance(200);
            assertThat(value("a")).isNull();
            assertThat(mFollower.takeChanged()).containsExactly("a");
        }

        /**
         * Guards against the loss of live targets whose entries lapsed while the store was down.
         */
        @Test
        void entriesThatLapsedDuringAnOutageHaveTimeToReturn() {
            list(5, item("a", 5, "1"), item("b", 5, "1"));
            fail(false);
            fail(true);
            list(9);
            advance(2_100);
            assertThat(value("a")).isEqualTo("1");
            watch(12, item("a", 12, "1"));
            advance(200);
            assertThat(value("a")).isEqualTo("1");
            assertThat(value("b")).as("still missing, so that it is gone").isNull();
        }

        /** Guards against the removal of an item that was written after the listing began. */
        @Test
        void itemThatIsNewerThanTheListingStays() {
            list(5, item("a", 5, "1"));
            watch(20, item("b", 20, "1"));
            fail(true);
            list(15, item("a", 5, "1"));
            advance(5_000);
            assertThat(value("b")).isEqualTo("1");
        }
    }
}
