package org.foxtailmoor.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.protocol.generated.Load;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ExpectedWaitBalancerTest {
    private static final int SLOTS = 10;

    private final MockTicker mTicker = Ticker.newMockTicker();
    private final UpstreamTable mTable = UpstreamTable.of(mTicker);
    private final ExpectedWaitBalancer mBalancer =
            ExpectedWaitBalancer.of(mTable, new Random(5), "doo", "sapporo-a");
    private final RoutingSnapshot mSnapshot =
            new Fleet()
                    .service("s", SLOTS)
                    .upstreams("s", "doo", "sapporo-a", "near")
                    .upstreams("s", "doo", "otaru-a", "region")
                    .upstreams("s", "dohoku", "nayoro-a", "far")
                    .build(1, 1);

    private long mLimit = Long.MAX_VALUE;

    @BeforeEach
    void update() {
        mTable.update(mSnapshot);
        report("near", 0, 60, 0);
        report("region", 0, 60, 0);
        report("far", 0, 60, 0);
    }

    private void report(String id, int busy, int serviceMilliseconds, int failurePercent) {
        mTable.reportLoad(
                id,
                Load.newBuilder()
                        .setRunning(Math.min(busy, SLOTS))
                        .setQueued(Math.max(0, busy - SLOTS))
                        .setSlots(SLOTS)
                        .setServiceTimeMicroseconds(
                                (int) TimeUnit.MILLISECONDS.toMicros(serviceMilliseconds))
                        .setFailurePercent(failurePercent)
                        .build());
    }

    private Map<String, Integer> choose(String... excluded) {
        return chooseFor(0, excluded);
    }

    private Map<String, Integer> chooseFor(long bodyBytes, String... excluded) {
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < 100; i++) {
            Upstream upstream =
                    mBalancer.choose(
                            mSnapshot,
                            mSnapshot.service("s"),
                            List.of(excluded),
                            bodyBytes,
                            mLimit);
            counts.merge(upstream == null ? "none" : upstream.id(), 1, Integer::sum);
        }
        return counts;
    }

    @Test
    void idleFleetIsServedInItsOwnRegion() {
        assertThat(choose()).doesNotContainKey("far");
    }

    /** Guards against a burst in one zone that waits while the other region is idle. */
    @Test
    void queueThatIsLongerThanTheWayIsLeftForAnotherRegion() {
        report("near", 30, 60, 0);
        report("region", 30, 60, 0);
        assertThat(choose()).containsOnlyKeys("far");
    }

    /** Guards against slow targets that get as much work as fast ones. */
    @Test
    void slowTargetIsLeftForAFasterOne() {
        report("near", 2, 300, 0);
        assertThat(choose()).containsOnlyKeys("region");
    }

    /** Guards against a target that looks idle because it refuses or fails its work at once. */
    @Test
    void failingTargetIsLeft() {
        report("near", 0, 5, 60);
        report("region", 5, 60, 0);
        report("near", 0, 60, 60);
        assertThat(choose()).containsOnlyKeys("region");
    }

    /** Guards against uploads that are paid for between zones although their own zone has room. */
    @Test
    void largeBodyStaysInItsZoneUntilTheWaitThereIsLong() {
        report("near", 9, 60, 0);
        assertThat(chooseFor(60_000)).containsOnlyKeys("near");
        report("near", 40, 60, 0);
        assertThat(chooseFor(60_000)).containsOnlyKeys("region");
    }

    /** Guards against a refused request that asks one full upstream after the other. */
    @Test
    void upstreamThatIsExpectedToAnswerTooLateIsNotAsked() {
        report("near", 40, 60, 0);
        report("region", 40, 60, 0);
        mLimit = TimeUnit.MILLISECONDS.toNanos(150);
        assertThat(choose()).containsOnlyKeys("far");
        mLimit = TimeUnit.MILLISECONDS.toNanos(100);
        assertThat(choose()).containsOnlyKeys("none");
    }

    @Test
    void excludedAndLeavingUpstreamsAreNotChosen() {
        mTable.markLeaving("region");
        assertThat(choose("near")).containsOnlyKeys("far");
        assertThat(choose("near", "far")).containsOnlyKeys("none");
    }

    /** Guards against requests that are refused although a target could be tried. */
    @Test
    void avoidedUpstreamIsTheLastChoice() {
        mTable.reportFailure("near");
        assertThat(choose()).doesNotContainKey("near");
        assertThat(choose("region", "far")).containsOnlyKeys("near");
    }
}
