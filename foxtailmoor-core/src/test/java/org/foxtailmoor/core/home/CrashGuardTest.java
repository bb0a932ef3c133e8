package org.foxtailmoor.core.home;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.core.home.CrashGuard.Verdict;
import org.junit.jupiter.api.Test;

class CrashGuardTest {
    private static final Fingerprint POISON = Fingerprint.of("POST", "/a", new byte[] {1});

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
    void crashesOfTheServiceAddUpToTheLimit() {
        mFirst.crashed(POISON, true);
        exchange();
        assertThat(mSecond.verdict(POISON, 2)).isEqualTo(Verdict.SUSPECT);
        mSecond.crashed(POISON, true);
        exchange();
        exchange();
        assertThat(mFirst.verdict(POISON, 2)).isEqualTo(Verdict.POISONED);
        assertThat(mSecond.verdict(POISON, 2)).isEqualTo(Verdict.POISONED);
        assertThat(mFirst.verdict(POISON, 3)).isEqualTo(Verdict.SUSPECT);
    }

    /** Guards against poisoning a request that many callers send in place of its neighbour. */
    @Test
    void crashesBesideOtherRequestsAloneDoNotPoison() {
        mFirst.crashed(POISON, false);
        mSecond.crashed(POISON, false);
        exchange();
        exchange();
        assertThat(mFirst.verdict(POISON, 2)).isEqualTo(Verdict.SUSPECT);
        assertThat(mFirst.verdict(POISON, 1)).isEqualTo(Verdict.POISONED);
        mSecond.crashed(POISON, true);
        exchange();
        exchange();
        assertThat(mFirst.verdict(POISON, 2)).isEqualTo(Verdict.POISONED);
    }

    @Test
    void poisonEndsAfterTenMinutesAlthoughOldReportsStillArrive() {
        mFirst.crashed(POISON, true);
        mFirst.crashed(POISON, true);
        exchange();
        advance(9);
        exchange();
        assertThat(mSecond.verdict(POISON, 2)).isEqualTo(Verdict.POISONED);
        var old = mFirst.reports();
        advance(1);
        mSecond.merge(old);
        assertThat(mSecond.verdict(POISON, 2)).isEqualTo(Verdict.CLEAR);
        assertThat(mFirst.verdict(POISON, 2)).isEqualTo(Verdict.CLEAR);
        assertThat(mFirst.reports()).isEmpty();
        mFirst.crashed(POISON, true);
        assertThat(mFirst.verdict(POISON, 2)).isEqualTo(Verdict.SUSPECT);
    }

    @Test
    void innocentFingerprintIsClearedEverywhere() {
        mFirst.crashed(POISON, true);
        exchange();
        mSecond.completedAlone(POISON);
        exchange();
        assertThat(mFirst.verdict(POISON, 2)).isEqualTo(Verdict.CLEAR);
        assertThat(mSecond.verdict(POISON, 2)).isEqualTo(Verdict.CLEAR);
    }

    /** Guards against an old exoneration, sent again, that hides a later crash. */
    @Test
    void repeatedExonerationDoesNotClearALaterCrash() {
        mFirst.crashed(POISON, true);
        exchange();
        mSecond.completedAlone(POISON);
        exchange();
        mFirst.crashed(POISON, true);
        exchange();
        exchange();
        assertThat(mFirst.verdict(POISON, 2)).isEqualTo(Verdict.SUSPECT);
        assertThat(mSecond.verdict(POISON, 2)).isEqualTo(Verdict.SUSPECT);
    }

    @Test
    void reportsOfOtherServicesAreIgnoredAndTablesAreBounded() {
        CrashGuard other = CrashGuard.of(mTicker, "t", "u1");
        other.crashed(POISON, true);
        mSecond.merge(other.reports());
        assertThat(mSecond.verdict(POISON, 1)).isEqualTo(Verdict.CLEAR);
        for (int i = 0; i < 2 * CrashGuard.FINGERPRINT_LIMIT; i++) {
            mFirst.crashed(new Fingerprint(i, i), true);
            mTicker.advance(1, TimeUnit.MILLISECONDS);
        }
        assertThat(mFirst.reports()).hasSize(CrashGuard.REPORT_LIMIT);
        assertThat(mFirst.verdict(new Fingerprint(1, 1), 1)).isEqualTo(Verdict.CLEAR);
    }

    @Test
    void fingerprintDependsOnMethodPathAndBody() {
        byte[] body = "x".getBytes(StandardCharsets.UTF_8);
        Fingerprint print = Fingerprint.of("POST", "/a", body);
        assertThat(print).isEqualTo(Fingerprint.of("POST", "/a", body.clone()));
        assertThat(print).isNotIn(Fingerprint.of("PUT", "/a", body), POISON);
        assertThat(print).isNotEqualTo(Fingerprint.of("POST", "/b", body));
        assertThat(Fingerprint.of(print.toBytes())).isEqualTo(print);
    }
}
