package org.foxtailmoor.core.home;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.core.home.CrashGuard.Status;
import org.junit.jupiter.api.Test;

class CrashGuardTest {
    private static final Fingerprint CRASHING = Fingerprint.of("POST", "/a", new byte[] {1});

    private final MockTicker mTicker = Ticker.newMockTicker();
    private final CrashGuard mFirst = CrashGuard.of(mTicker, "s", "u1");
    private final CrashGuard mSecond = CrashGuard.of(mTicker, "s", "u2");

    private void exchange() {
        mSecond.merge(mFirst.reports());
        mFirst.merge(mSecond.reports());
    }

    private void advance(long minutes) {
        mTicker.advance(minutes, TimeUnit.MINUTES);
        mFirst.tick();
        mSecond.tick();
    }

    @Test
    void crashesAddUpAcrossTheService() {
        mFirst.crashed(CRASHING, true);
        exchange();
        assertThat(mSecond.status(CRASHING, 2)).isEqualTo(Status.SUSPECT);
        mSecond.crashed(CRASHING, true);
        exchange();
        exchange();
        assertThat(mFirst.status(CRASHING, 2)).isEqualTo(Status.POISONED);
        assertThat(mSecond.status(CRASHING, 2)).isEqualTo(Status.POISONED);
        assertThat(mFirst.status(CRASHING, 3)).isEqualTo(Status.SUSPECT);
    }

    /**
     * Guards against poisoning a frequent request that is in flight whenever another one crashes.
     */
    @Test
    void crashesWithSeveralSuspectsInFlightDoNotPoison() {
        mFirst.crashed(CRASHING, false);
        mSecond.crashed(CRASHING, false);
        exchange();
        exchange();
        assertThat(mFirst.status(CRASHING, 2)).isEqualTo(Status.SUSPECT);
        assertThat(mFirst.status(CRASHING, 1)).isEqualTo(Status.POISONED);
        mSecond.crashed(CRASHING, true);
        exchange();
        exchange();
        assertThat(mFirst.status(CRASHING, 2)).isEqualTo(Status.POISONED);
    }

    /** Guards against a caller that gets the same request of all others refused. */
    @Test
    void answeredContentIsOnlyRefusedForTheCallerThatCrashes() {
        Fingerprint desk = CRASHING.withOrigin("", "desk");
        Fingerprint rack = CRASHING.withOrigin("", "rack");
        mFirst.answered(CRASHING);
        for (int i = 0; i < 2; i++) {
            mFirst.crashed(CRASHING, true);
            mFirst.crashed(desk, true);
        }
        exchange();
        assertThat(mFirst.status(CRASHING, desk, 2)).isEqualTo(Status.POISONED);
        assertThat(mFirst.status(CRASHING, rack, 2)).isEqualTo(Status.SUSPECT);
        assertThat(mSecond.status(CRASHING, rack, 2))
                .as("never answered")
                .isEqualTo(Status.POISONED);
        mFirst.completedInIsolation(CRASHING);
        exchange();
        assertThat(mSecond.status(CRASHING, rack, 2)).isEqualTo(Status.CLEAR);
        assertThat(mSecond.status(CRASHING, desk, 2)).isEqualTo(Status.POISONED);
    }

    @Test
    void poisoningExpiresAfterTenMinutesDespiteLateReports() {
        mFirst.crashed(CRASHING, true);
        mFirst.crashed(CRASHING, true);
        exchange();
        advance(9);
        exchange();
        assertThat(mSecond.status(CRASHING, 2)).isEqualTo(Status.POISONED);
        var oldReports = mFirst.reports();
        advance(1);
        mSecond.merge(oldReports);
        assertThat(mSecond.status(CRASHING, 2)).isEqualTo(Status.CLEAR);
        assertThat(mFirst.status(CRASHING, 2)).isEqualTo(Status.CLEAR);
        assertThat(mFirst.reports()).isEmpty();
        mFirst.crashed(CRASHING, true);
        assertThat(mFirst.status(CRASHING, 2)).isEqualTo(Status.SUSPECT);
    }

    @Test
    void fingerprintThatCompletesInIsolationIsClearedOnAllNodes() {
        mFirst.crashed(CRASHING, true);
        exchange();
        mSecond.completedInIsolation(CRASHING);
        exchange();
        assertThat(mFirst.status(CRASHING, 2)).isEqualTo(Status.CLEAR);
        assertThat(mSecond.status(CRASHING, 2)).isEqualTo(Status.CLEAR);
    }

    /** Guards against an exoneration that is received again and clears a later crash. */
    @Test
    void repeatedExonerationDoesNotClearALaterCrash() {
        mFirst.crashed(CRASHING, true);
        exchange();
        mSecond.completedInIsolation(CRASHING);
        exchange();
        mFirst.crashed(CRASHING, true);
        exchange();
        exchange();
        assertThat(mFirst.status(CRASHING, 2)).isEqualTo(Status.SUSPECT);
        assertThat(mSecond.status(CRASHING, 2)).isEqualTo(Status.SUSPECT);
    }

    @Test
    void reportsOfOtherServicesAreIgnoredAndRecordsAreBounded() {
        CrashGuard other = CrashGuard.of(mTicker, "t", "u1");
        other.crashed(CRASHING, true);
        mSecond.merge(other.reports());
        assertThat(mSecond.status(CRASHING, 1)).isEqualTo(Status.CLEAR);
        for (int i = 0; i < 2 * CrashGuard.FINGERPRINT_LIMIT; i++) {
            mFirst.crashed(new Fingerprint(i, i), true);
            mTicker.advance(1, TimeUnit.MILLISECONDS);
        }
        assertThat(mFirst.reports()).hasSize(CrashGuard.REPORT_LIMIT);
        assertThat(mFirst.status(new Fingerprint(1, 1), 1)).isEqualTo(Status.CLEAR);
    }

    @Test
    void fingerprintDependsOnMethodPathAndBody() {
        byte[] body = "x".getBytes(StandardCharsets.UTF_8);
        Fingerprint fingerprint = Fingerprint.of("POST", "/a", body);
        assertThat(fingerprint).isEqualTo(Fingerprint.of("POST", "/a", body.clone()));
        assertThat(fingerprint).isNotIn(Fingerprint.of("PUT", "/a", body), CRASHING);
        assertThat(fingerprint).isNotEqualTo(Fingerprint.of("POST", "/b", body));
        assertThat(Fingerprint.of(fingerprint.toBytes())).isEqualTo(fingerprint);
    }
}
