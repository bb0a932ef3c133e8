package org.foxtailmoor.core.home;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.core.home.CrashGuard.Status;
import org.foxtailmoor.protocol.generated.CrashCount;
import org.junit.jupiter.api.Test;

class CrashTableTest {
    private static final Fingerprint CRASHING = new Fingerprint(1, 1);
    private static final Fingerprint COMMON = new Fingerprint(2, 2);

    private final MockTicker mTicker = Ticker.newMockTicker();
    private final List<CrashTable.StatusChange> mChanges = new ArrayList<>();
    private final CrashTable mFirst = newTable("first", 1);
    private final CrashTable mSecond = newTable("second", 1);
    private final CrashTable mThird = newTable("third", 1);

    private CrashTable newTable(String id, long incarnation) {
        return CrashTable.of(
                mTicker,
                id,
                incarnation,
                new CrashTable.Listener() {
                    @Override
                    public void onStatusChanged(CrashTable.StatusChange change) {
                        mChanges.add(change);
                    }

                    @Override
                    public void onCountsChanged(List<CrashCount> counts, boolean crashedHere) {}
                });
    }

    private void exchange() {
        for (CrashTable from : List.of(mFirst, mSecond, mThird)) {
            for (CrashTable to : List.of(mFirst, mSecond, mThird)) {
                to.merge(from.counts());
            }
        }
    }

    @Test
    void secondCrashAsTheOnlySuspectPoisonsOnAllNodes() {
        mFirst.crashed(List.of(CRASHING, COMMON));
        exchange();
        assertThat(mThird.status(CRASHING)).isEqualTo(Status.SUSPECT);
        mSecond.crashed(List.of(CRASHING, new Fingerprint(3, 3)));
        exchange();
        assertThat(mThird.status(CRASHING)).isEqualTo(Status.POISONED);
        assertThat(mThird.status(COMMON)).isEqualTo(Status.SUSPECT);
        assertThat(mThird.status(new Fingerprint(3, 3))).isEqualTo(Status.CLEAR);
        assertThat(mChanges)
                .contains(
                        new CrashTable.StatusChange(
                                CRASHING,
                                Status.SUSPECT,
                                Status.POISONED,
                                2,
                                Set.of("first", "second")));
    }

    /**
     * Guards against further crashes until two targets that crashed together agree on the cause.
     */
    @Test
    void requestInFlightAtCrashesOfTwoTargetsIsPoisonedIfItIsTheOnlyOne() {
        mFirst.crashed(List.of(CRASHING, new Fingerprint(3, 1)));
        mSecond.crashed(List.of(CRASHING, new Fingerprint(3, 2)));
        exchange();
        assertThat(mSecond.status(CRASHING)).isEqualTo(Status.SUSPECT);
        mSecond.attributeCommonCrashes();
        exchange();
        assertThat(mThird.status(CRASHING)).isEqualTo(Status.POISONED);
        assertThat(mThird.status(new Fingerprint(3, 2))).isEqualTo(Status.SUSPECT);
    }

    /** Guards against attributing crashes to one of several requests that they have in common. */
    @Test
    void severalRequestsInFlightAtCrashesOfTwoTargetsAreNotPoisoned() {
        mFirst.crashed(List.of(CRASHING, COMMON));
        mSecond.crashed(List.of(CRASHING, COMMON));
        exchange();
        mSecond.attributeCommonCrashes();
        exchange();
        assertThat(mThird.status(CRASHING)).isEqualTo(Status.SUSPECT);
        assertThat(mThird.status(COMMON)).isEqualTo(Status.SUSPECT);
    }

    /** Guards against one faulty node that gets requests refused by the others. */
    @Test
    void crashesOfOneNodeDoNotPoisonOnOthers() {
        for (int i = 0; i < 5; i++) {
            mFirst.crashed(List.of(COMMON));
        }
        exchange();
        assertThat(mFirst.status(COMMON)).isEqualTo(Status.POISONED);
        assertThat(mSecond.status(COMMON)).isEqualTo(Status.SUSPECT);
        mSecond.answered(COMMON);
        exchange();
        assertThat(mFirst.status(COMMON)).isEqualTo(Status.CLEAR);
    }

    /** Guards against refusing a frequent request that is in flight whenever a target ends. */
    @Test
    void requestAnsweredShortlyBeforeIsNotSuspected() {
        mFirst.answered(COMMON);
        mFirst.crashed(List.of(CRASHING, COMMON));
        assertThat(mFirst.status(COMMON)).isEqualTo(Status.CLEAR);
        assertThat(mFirst.status(CRASHING)).isEqualTo(Status.SUSPECT);
        mTicker.advance(30, TimeUnit.SECONDS);
        mFirst.crashed(List.of(COMMON));
        assertThat(mFirst.status(COMMON)).isEqualTo(Status.SUSPECT);
    }

    /** Guards against an old report that arrives after the fingerprint was cleared. */
    @Test
    void clearedCrashesStayClearedInAnyOrderOfArrival() {
        SplittableRandom random = new SplittableRandom(1);
        for (int round = 0; round < 200; round++) {
            CrashTable reporter = newTable("reporter", round);
            CrashTable clearing = newTable("clearing", round);
            List<CrashCount> sent = new ArrayList<>();
            Fingerprint fingerprint = new Fingerprint(7, round);
            for (int i = 0; i < 3; i++) {
                reporter.crashed(List.of(fingerprint));
                sent.addAll(reporter.counts());
                clearing.merge(reporter.counts());
                clearing.answered(fingerprint);
                sent.addAll(clearing.counts());
            }
            Collections.shuffle(sent, new Random(random.nextLong()));
            CrashTable receiver = newTable("receiver", round);
            receiver.merge(sent);
            assertThat(receiver.status(fingerprint)).isEqualTo(Status.CLEAR);
            assertThat(receiver.digest()).isEqualTo(clearing.digest());
            reporter.merge(clearing.counts());
            reporter.crashed(List.of(fingerprint));
            receiver.merge(reporter.counts());
            assertThat(receiver.status(fingerprint)).isEqualTo(Status.SUSPECT);
        }
    }

    /**
     * Guards against counts of old nodes, in a release, that get requests of all callers refused.
     */
    @Test
    void countsForTheContentAloneDoNotConcernTheRequestOfACaller() {
        Fingerprint content = new Fingerprint(8, 1);
        Fingerprint request = content.withOrigin("mesh.example", "desk");
        mFirst.crashed(List.of(content));
        mSecond.crashed(List.of(content));
        exchange();
        assertThat(mThird.status(content)).isEqualTo(Status.POISONED);
        assertThat(mThird.status(request)).isEqualTo(Status.CLEAR);
        mFirst.crashed(List.of(request));
        mSecond.crashed(List.of(request));
        exchange();
        assertThat(mThird.status(request)).isEqualTo(Status.POISONED);
    }

    /** Guards against counts of a restarted node that are taken for old ones. */
    @Test
    void crashAfterARestartOfTheReporterCounts() {
        mFirst.crashed(List.of(CRASHING, COMMON));
        exchange();
        CrashTable restarted = newTable("first", 2);
        restarted.merge(mSecond.counts());
        assertThat(restarted.status(CRASHING)).isEqualTo(Status.SUSPECT);
        restarted.crashed(List.of(CRASHING));
        mSecond.merge(restarted.counts());
        assertThat(mSecond.counts(CRASHING)).hasSize(2);
        assertThat(mSecond.status(CRASHING)).as("one instance").isEqualTo(Status.SUSPECT);
    }

    /** Guards against refusing requests because several targets end for another reason. */
    @Test
    void targetsThatEndForAnotherReasonDoNotPoisonFrequentRequests() {
        SplittableRandom random = new SplittableRandom(3);
        List<CrashTable> homes = List.of(mFirst, mSecond, mThird);
        for (int round = 0; round < 100; round++) {
            for (CrashTable home : homes) {
                for (int path = 0; path < 20; path++) {
                    home.answered(new Fingerprint(5, path));
                }
            }
            for (CrashTable home : homes) {
                List<Fingerprint> inFlight = new ArrayList<>();
                for (int i = 0; i < 12; i++) {
                    inFlight.add(new Fingerprint(5, random.nextInt(20)));
                }
                home.crashed(inFlight);
            }
            exchange();
            mTicker.advance(3, TimeUnit.SECONDS);
            assertThat(homes).allMatch(home -> home.count(Status.POISONED) == 0);
        }
    }

    @Test
    void crashesExpireEvenIfTheyArePassedOn() {
        mFirst.crashed(List.of(CRASHING));
        mSecond.merge(mFirst.counts());
        mSecond.crashed(List.of(CRASHING));
        assertThat(mSecond.remainingNanoseconds(CRASHING))
                .isEqualTo(CrashTable.RETENTION_NANOSECONDS);
        mTicker.advance(9, TimeUnit.MINUTES);
        mThird.merge(mSecond.counts());
        assertThat(mThird.status(CRASHING)).isEqualTo(Status.POISONED);
        mTicker.advance(1, TimeUnit.MINUTES);
        assertThat(mThird.status(CRASHING)).isEqualTo(Status.CLEAR);
        mThird.tick();
        assertThat(mThird.isEmpty()).isTrue();
        mFirst.tick();
        assertThat(mFirst.digest()).isZero();
    }

    @Test
    void malformedCountsAreIgnoredAndTheTableIsBounded() {
        CrashCount valid =
                CrashCount.newBuilder()
                        .setFingerprint(CRASHING.toBytes())
                        .setReporter("x")
                        .setCrashes(1)
                        .build();
        mFirst.merge(
                List.of(
                        valid.toBuilder().setCrashes(-1).build(),
                        valid.toBuilder().clearFingerprint().build(),
                        valid.toBuilder().setAgeMilliseconds(-1).build(),
                        valid.toBuilder().setAgeMilliseconds(600_000).build()));
        assertThat(mFirst.isEmpty()).isTrue();
        for (int i = 0; i < 2 * CrashTable.FINGERPRINT_LIMIT; i++) {
            mFirst.crashed(List.of(new Fingerprint(9, i)));
            mTicker.advance(1, TimeUnit.MILLISECONDS);
        }
        assertThat(mFirst.count(Status.SUSPECT)).isEqualTo(CrashTable.FINGERPRINT_LIMIT);
        for (int i = 0; i < 2 * CrashTable.REPORTER_LIMIT; i++) {
            mSecond.merge(List.of(valid.toBuilder().setReporter("x" + i).build()));
        }
        assertThat(mSecond.counts(CRASHING)).hasSize(CrashTable.REPORTER_LIMIT);
    }
}
