package org.foxtailmoor.core.admission;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.core.routing.Route;
import org.foxtailmoor.core.routing.RoutingSnapshot;
import org.foxtailmoor.core.routing.RoutingSnapshotBuilder;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class FleetLimitsTest {
    private final MockTicker mTicker = Ticker.newMockTicker();
    private final Route mRoute =
            new RoutingSnapshotBuilder()
                    .service("s", 10)
                    .route("r", "s", "GET", "/", entry -> entry.setLimitId("l"))
                    .build(1, 1)
                    .routeById("r");

    @Nested
    class ShareOfOneNode {
        private final FleetLimits mLimits = FleetLimits.of(mTicker);

        @Test
        void burstRateAndConcurrencyAreDivided() {
            for (int i = 0; i < 5; i++) {
                assertThat(mLimits.tryAcquire(mRoute, 2)).isEqualTo(FleetLimits.ADMITTED);
            }
            assertThat(mLimits.tryAcquire(mRoute, 2)).isBetween(1, 21);
            int admitted = 5;
            for (int i = 0; i < 20; i++) {
                mTicker.advance(100, TimeUnit.MILLISECONDS);
                while (mLimits.tryAcquire(mRoute, 2) == FleetLimits.ADMITTED) {
                    admitted++;
                }
            }
            assertThat(admitted).as("half of the concurrency of 30").isEqualTo(15);
        }

        /** Guards against a memory that grows with the routes of earlier catalogues. */
        @Test
        void shareOfARemovedRouteIsForgottenAfterItsLastRequest() {
            RoutingSnapshot without = new RoutingSnapshotBuilder().service("s", 10).build(2, 1);
            while (mLimits.tryAcquire(mRoute, 1) == FleetLimits.ADMITTED) {
                mLimits.release(mRoute, true);
            }
            mTicker.advance(10, TimeUnit.MILLISECONDS);
            assertThat(mLimits.tryAcquire(mRoute, 1)).isEqualTo(FleetLimits.ADMITTED);
            mLimits.retain(without);
            assertThat(mLimits.tryAcquire(mRoute, 1)).isNotEqualTo(FleetLimits.ADMITTED);
            mLimits.release(mRoute, true);
            mLimits.retain(without);
            assertThat(mLimits.tryAcquire(mRoute, 1)).isEqualTo(FleetLimits.ADMITTED);
        }

        @Test
        void tokenOfARequestThatDidNotRunIsReturned() {
            for (int i = 0; i < 50; i++) {
                assertThat(mLimits.tryAcquire(mRoute, 2)).isEqualTo(FleetLimits.ADMITTED);
                mLimits.release(mRoute, false);
            }
        }
    }

    /**
     * Measures how much of a limit of 100/s a fleet of 5 homes admits. Dividing the limit never
     * admits more than the limit. It admits less when the load is uneven for longer than a home's
     * share of the burst (2 requests) can absorb.
     */
    @Test
    void splitAdmitsAtMostTheLimitAndLosesUnderImbalance() {
        for (int offered : new int[] {50, 100, 200}) {
            double roundRobin = admittedPerSecond(offered, 0, false);
            double random = admittedPerSecond(offered, 0, true);
            double skewed = admittedPerSecond(offered, 20, true);
            System.out.printf(
                    "limit 100/s, offered %d/s: admitted round-robin %.1f, random %.1f,"
                            + " random with 20%% skewed to one home %.1f%n",
                    offered, roundRobin, random, skewed);
            int admissible = Math.min(offered, 100);
            assertThat(roundRobin).isBetween(admissible * 0.99, admissible * 1.01);
            assertThat(random).isBetween(admissible * 0.75, admissible * 1.01);
            assertThat(skewed).isBetween(admissible * 0.70, admissible * 1.01);
        }
    }

    private double admittedPerSecond(int offered, int skewPercent, boolean atRandom) {
        List<FleetLimits> homes = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            homes.add(FleetLimits.of(mTicker));
        }
        Random random = new Random(5);
        int admitted = 0;
        int seconds = 60;
        for (int i = 0; i < seconds * offered; i++) {
            mTicker.advance(1_000_000 / offered, TimeUnit.MICROSECONDS);
            int home = atRandom ? random.nextInt(5) : i % 5;
            home = random.nextInt(100) < skewPercent ? 0 : home;
            if (homes.get(home).tryAcquire(mRoute, 5) == FleetLimits.ADMITTED) {
                homes.get(home).release(mRoute, true);
                admitted++;
            }
        }
        return (double) admitted / seconds;
    }

    /** Guards against body memory that exceeds its limit, leaks or is released twice. */
    @Test
    void bodyMemoryNeverExceedsItsLimit() {
        BodyMemory memory = BodyMemory.of(100);
        assertThat(memory.tryReserve(60)).isTrue();
        assertThat(memory.tryReserve(41)).isFalse();
        memory.release(60);
        assertThat(memory.tryReserve(100)).isTrue();
        assertThatThrownBy(() -> memory.release(101)).isInstanceOf(IllegalStateException.class);
    }
}
