package org.foxtailmoor.core.home;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class TargetMonitorTest {
    private final MockTicker mTicker = Ticker.newMockTicker();
    private final TargetMonitor mMonitor = TargetMonitor.of(mTicker);

    /**
     * Guards against taking a target that only refuses further connections for one that is down.
     */
    @Test
    void targetWithOpenConnectionsIsNotDown() {
        assertThat(mMonitor.onConnectFailed(1)).isFalse();
        assertThat(mMonitor.isDown()).isFalse();
    }

    @Test
    void failedConnectWithoutOpenConnectionsIsReportedOnce() {
        assertThat(mMonitor.onConnectFailed(0)).isTrue();
        assertThat(mMonitor.onConnectFailed(0)).isFalse();
        assertThat(mMonitor.isDown()).isTrue();
        assertThat(mMonitor.onConnected()).isTrue();
        assertThat(mMonitor.onConnected()).isFalse();
        assertThat(mMonitor.isDown()).isFalse();
    }

    @Test
    void onlyATargetThatIsDownIsProbedPeriodically() {
        assertThat(mMonitor.startProbeIfDue()).isFalse();
        mMonitor.onConnectFailed(0);
        mTicker.advance(TargetMonitor.PROBE_INTERVAL_NANOSECONDS, TimeUnit.NANOSECONDS);
        assertThat(mMonitor.startProbeIfDue()).isTrue();
        mTicker.advance(TargetMonitor.PROBE_INTERVAL_NANOSECONDS, TimeUnit.NANOSECONDS);
        assertThat(mMonitor.startProbeIfDue()).as("a probe is under way").isFalse();
        mMonitor.onProbeEnded();
        assertThat(mMonitor.startProbeIfDue()).isTrue();
    }
}
