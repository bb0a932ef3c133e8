package org.foxtailmoor.status;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.util.concurrent.Ticker;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.base.FoxtailmoorException;
import org.junit.jupiter.api.Test;

class FleetPollerTest {
    private static final List<NodeAddress> NODES =
            List.of(new NodeAddress("10.0.0.1", 1), new NodeAddress("10.0.0.2", 1));

    /** Clock on which a sleep returns immediately and advances the time. */
    private static final class SleepingTicker implements Ticker {
        private final List<Long> mSleeps = new ArrayList<>();
        private long mNanoseconds;

        @Override
        public long initialNanoTime() {
            return 0;
        }

        @Override
        public long nanoTime() {
            return mNanoseconds;
        }

        @Override
        public void sleep(long delay, TimeUnit unit) {
            mSleeps.add(unit.toMillis(delay));
            mNanoseconds += unit.toNanos(delay);
        }
    }

    private final SleepingTicker mTicker = new SleepingTicker();

    /** Polls a node with version 2-b and one whose version depends on the time in ms. */
    private FleetStatus poll(long limitMilliseconds, LongFunction<String> secondVersion) {
        NodeClient client =
                (node, target) -> {
                    long now = TimeUnit.NANOSECONDS.toMillis(mTicker.nanoTime());
                    String version = node.equals(NODES.get(0)) ? "2-b" : secondVersion.apply(now);
                    return version == null
                            ? CompletableFuture.failedFuture(
                                    FoxtailmoorException.of(
                                            ErrorKind.PLATFORM_UNAVAILABLE, "refused"))
                            : CompletableFuture.completedFuture(
                                    "{\"catalogue\":{\"version\":\"" + version + "\"}}");
                };
        return new FleetPoller(client, mTicker).poll(NODES, limitMilliseconds);
    }

    /** Guards against a disagreement reported for a change that arrives within the limit. */
    @Test
    void endsWhenVersionsAgree() {
        FleetStatus fleet = poll(6_000, now -> now < 500 ? "1-a" : "2-b");
        assertThat(fleet.exitCode()).isZero();
        assertThat(fleet.elapsedMilliseconds()).isEqualTo(600);
    }

    /** Guards against a disagreement that is not reported, or reported before the limit. */
    @Test
    void reportsDisagreementAtTheLimit() {
        FleetStatus fleet = poll(500, now -> "1-a");
        assertThat(fleet.exitCode()).isEqualTo(ErrorKind.DISAGREEMENT.exitCode());
        assertThat(mTicker.mSleeps).containsExactly(200L, 200L, 100L);
        assertThat(fleet.catalogueVersions()).containsEntry("1-a", 1).containsEntry("2-b", 1);
        assertThat(StatusFormatter.toTable(fleet)).contains("versions differ for 0.5 s");
    }

    /** Guards against an unresponsive node that counts as agreeing. */
    @Test
    void reportsNodesWithoutAnswer() {
        FleetStatus fleet = poll(6_000, now -> null);
        assertThat(fleet.exitCode()).isEqualTo(ErrorKind.PLATFORM_UNAVAILABLE.exitCode());
        assertThat(mTicker.mSleeps).isEmpty();
        assertThat(StatusFormatter.toTable(fleet)).contains("10.0.0.2:1  no answer", "refused");
    }
}
