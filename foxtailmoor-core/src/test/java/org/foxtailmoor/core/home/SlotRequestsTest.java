package org.foxtailmoor.core.home;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.catalogue.CatalogueSnapshot;
import org.foxtailmoor.core.admission.DeadlineAdmission;
import org.foxtailmoor.core.routing.IdempotencyKey;
import org.foxtailmoor.core.routing.Route;
import org.foxtailmoor.core.routing.RoutingSnapshot;
import org.foxtailmoor.protocol.generated.CrashCount;
import org.foxtailmoor.protocol.generated.DocumentVersion;
import org.foxtailmoor.protocol.generated.Entry;
import org.foxtailmoor.protocol.generated.Instance;
import org.foxtailmoor.protocol.generated.RequestStart;
import org.foxtailmoor.protocol.generated.ServiceEntry;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SlotRequestsTest {
    private static final String ADDRESS = "10.0.0.1";
    private static final int PORT = 7;

    private final MockTicker mTicker = Ticker.newMockTicker();
    private final DeadlineAdmission mAdmission = DeadlineAdmission.of(mTicker, 1);
    private final CrashTable mCrashes = CrashTable.of(mTicker, "here", 1, new NoListener());
    private final SlotRequests mRequests =
            SlotRequests.of(mTicker, mAdmission, mCrashes, ADDRESS, PORT);
    private long mVersion;
    private int mSlots = 2;
    private int mRequestCount;

    private static final class NoListener implements CrashTable.Listener {
        @Override
        public void onStatusChanged(CrashTable.StatusChange change) {}

        @Override
        public void onCountsChanged(List<CrashCount> counts, boolean crashedHere) {}
    }

    private final class TestRequest implements HomeRequest {
        private final long mDeadline = mTicker.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        private final Fingerprint mFingerprint;
        private final String mInstanceId;
        private boolean mDispatched;
        private ErrorKind mRefusal;
        private boolean mAborted;

        TestRequest(Fingerprint fingerprint, String instanceId) {
            mFingerprint = fingerprint;
            mInstanceId = instanceId;
        }

        @Override
        public String instanceId() {
            return mInstanceId;
        }

        @Override
        public Route route() {
            return null;
        }

        @Override
        public IdempotencyKey key() {
            return null;
        }

        @Override
        public Fingerprint fingerprint() {
            throw new UnsupportedOperationException();
        }

        @Override
        public Fingerprint crashFingerprint() {
            return mFingerprint;
        }

        @Override
        public long deadlineNanoseconds() {
            return mDeadline;
        }

        @Override
        public void dispatch() {
            mDispatched = true;
        }

        @Override
        public void abort() {
            mAborted = true;
        }

        @Override
        public void answer(StoredAnswer answer) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void refuse(ErrorKind kind, int retryAfterMilliseconds) {
            assertThat(mRefusal).as("one outcome").isNull();
            mRefusal = kind;
        }
    }

    @BeforeEach
    void publish() {
        publish("i-1", "s", false);
    }

    private void publishSlots(int slots) {
        mSlots = slots;
        publish("i-1", "s", false);
    }

    private void publish(String id, String service, boolean leaving) {
        Instance instance =
                Instance.newBuilder()
                        .setId(id)
                        .setServiceId(service)
                        .setAddress(ADDRESS)
                        .setNodePort(PORT)
                        .setSlots(mSlots)
                        .setLeaving(leaving)
                        .build();
        mRequests.update(newSnapshot(instance), "s");
    }

    private void publishWithoutTarget() {
        mRequests.update(newSnapshot(), "s");
    }

    private RoutingSnapshot newSnapshot(Instance... instances) {
        mVersion++;
        DocumentVersion version = DocumentVersion.newBuilder().setNumber(mVersion).build();
        List<Entry> entries =
                List.of(
                        Entry.newBuilder()
                                .setId("s")
                                .setServiceEntry(ServiceEntry.getDefaultInstance())
                                .build());
        return RoutingSnapshot.of(
                CatalogueSnapshot.of(version, entries), version, List.of(instances));
    }

    private TestRequest accept() {
        mRequestCount++;
        return accept(new Fingerprint(0, mRequestCount));
    }

    private TestRequest accept(Fingerprint fingerprint) {
        return accept(new TestRequest(fingerprint, ""));
    }

    private TestRequest accept(TestRequest request) {
        mRequests.accept(request);
        return request;
    }

    private static RequestStart start(String service, String instance) {
        return RequestStart.newBuilder().setServiceId(service).setInstanceId(instance).build();
    }

    @Nested
    class RefusalReasons {
        /**
         * Guards against sending a request to a target that has reused the address of another one.
         */
        @Test
        void requestForAnotherTargetIsRefused() {
            assertThat(mRequests.refusalReason(start("s", "i-1"))).isNull();
            assertThat(mRequests.refusalReason(start("s", "i-0"))).isEqualTo(ErrorKind.NO_UPSTREAM);
            publish("i-1", "t", false);
            assertThat(mRequests.refusalReason(start("s", "i-1"))).isEqualTo(ErrorKind.NO_UPSTREAM);
        }

        /** Guards against requests that reach a target long after its entry was removed. */
        @Test
        void removedTargetGetsNoNewRequestUntilItIsListedAgain() {
            publishWithoutTarget();
            assertThat(mRequests.refusalReason(start("s", "i-1"))).isEqualTo(ErrorKind.LEAVING);
            assertThat(mRequests.isTargetLeaving()).isTrue();
            publishWithoutTarget();
            assertThat(mRequests.refusalReason(start("s", "i-1"))).isEqualTo(ErrorKind.LEAVING);
            publish("i-1", "s", false);
            assertThat(mRequests.refusalReason(start("s", "i-1"))).isNull();
            assertThat(mRequests.isTargetLeaving()).isFalse();
        }

        /** Guards against a starting node that refuses requests because its list is still short. */
        @Test
        void targetThatWasNeverListedGetsRequests() {
            SlotRequests starting = SlotRequests.of(mTicker, mAdmission, mCrashes, ADDRESS, PORT);
            starting.update(newSnapshot(), "s");
            assertThat(starting.refusalReason(start("s", "i-1"))).isNull();
            assertThat(starting.isTargetLeaving()).isFalse();
        }

        @Test
        void leavingTargetGetsNoNewRequest() {
            publish("i-1", "s", true);
            assertThat(mRequests.refusalReason(start("s", "i-1"))).isEqualTo(ErrorKind.LEAVING);
        }
    }

    @Nested
    class Slots {
        @Test
        void slotsAreTakenFromTheInstanceList() {
            accept();
            accept();
            TestRequest third = accept();
            assertThat(third.mDispatched).isFalse();
            assertThat(mAdmission.load().getRunning()).isEqualTo(2);
        }

        /** Guards against dispatching requests to a target that has reported that it is leaving. */
        @Test
        void leavingTargetRefusesQueuedButNotRunningRequests() {
            TestRequest running = accept();
            accept();
            TestRequest queued = accept();
            publish("i-1", "s", true);
            assertThat(queued.mRefusal).isEqualTo(ErrorKind.LEAVING);
            assertThat(running.mRefusal).isNull();
        }

        /** Guards against dispatching queued requests to a target whose entry was removed. */
        @Test
        void removedTargetRefusesQueuedButNotRunningRequests() {
            TestRequest running = accept();
            accept();
            TestRequest queued = accept();
            publishWithoutTarget();
            assertThat(queued.mRefusal).isEqualTo(ErrorKind.LEAVING);
            assertThat(running.mRefusal).isNull();
            mRequests.completed(running, new StoredAnswer(200, List.of(), new byte[0]));
            assertThat(queued.mDispatched).isFalse();
        }

        /** Guards against a connection that is established only after the target has left. */
        @Test
        void requestThatWaitsForAConnectionIsRefusedOnceItsTargetIsRemoved() {
            TestRequest connecting = accept();
            publishWithoutTarget();
            assertThat(mRequests.confirmDispatch(connecting)).isFalse();
            assertThat(connecting.mRefusal).isEqualTo(ErrorKind.LEAVING);
            assertThat(mRequests.isIdle()).isTrue();
        }

        /** Guards against queued requests that reach the next target at the same address. */
        @ParameterizedTest
        @CsvSource({"i-2,s", "i-2,t"})
        void targetThatTakesOverTheAddressGetsNoQueuedRequestsOfTheEarlierOne(
                String id, String service) {
            accept();
            TestRequest running = accept();
            TestRequest queued = accept(new TestRequest(new Fingerprint(1, 0), "i-1"));
            TestRequest other = accept(new TestRequest(new Fingerprint(1, 1), "i-2"));
            publish(id, service, false);
            assertThat(queued.mRefusal).isEqualTo(ErrorKind.LEAVING);
            assertThat(other.mRefusal).isNull();
            assertThat(running.mRefusal).isNull();
            mRequests.completed(running, new StoredAnswer(200, List.of(), new byte[0]));
            assertThat(queued.mDispatched).isFalse();
            assertThat(other.mDispatched).isTrue();
        }

        /** Guards against a slot that is not released when its request ends. */
        @Test
        void everyOutcomeReleasesTheSlot() {
            for (int round = 0; round < 3; round++) {
                TestRequest first = accept();
                TestRequest second = accept();
                assertThat(second.mDispatched).isTrue();
                mRequests.completed(first, new StoredAnswer(200, List.of(), new byte[0]));
                mRequests.failed(second, ErrorKind.UPSTREAM_FAILED);
                TestRequest third = accept();
                mRequests.notRun(third, ErrorKind.UPSTREAM_REJECTED);
                assertThat(third.mRefusal).isEqualTo(ErrorKind.UPSTREAM_REJECTED);
                TestRequest fourth = accept();
                assertThat(mRequests.cancel(fourth)).isEqualTo(Cancellation.CANCEL_AT_TARGET);
                mRequests.failed(fourth, ErrorKind.CANCELLED);
            }
            assertThat(mRequests.isIdle()).isTrue();
        }

        /** Guards against a target that is down and therefore looks fast. */
        @Test
        void failedConnectsAreNoServiceTimes() {
            TestRequest served = accept();
            mTicker.advance(100, TimeUnit.MILLISECONDS);
            mRequests.completed(served, new StoredAnswer(200, List.of(), new byte[0]));
            int serviceTime = mAdmission.load().getServiceTimeMicroseconds();
            for (int i = 0; i < 20; i++) {
                mRequests.notRun(accept(), ErrorKind.NO_UPSTREAM);
            }
            assertThat(mAdmission.load().getServiceTimeMicroseconds()).isEqualTo(serviceTime);
        }

        @Test
        void cancelledQueuedRequestNeverRuns() {
            TestRequest running = accept();
            accept();
            TestRequest queued = accept();
            assertThat(mRequests.cancel(queued)).isEqualTo(Cancellation.NOT_RUN);
            mRequests.completed(running, new StoredAnswer(200, List.of(), new byte[0]));
            assertThat(queued.mDispatched).isFalse();
        }
    }

    @Nested
    class Crashes {
        private final Fingerprint mCrashing = new Fingerprint(1, 0);

        private void crashBesideOthers(TestRequest... requests) {
            mRequests.crashed(List.of(requests));
        }

        private StoredAnswer answer() {
            return new StoredAnswer(200, List.of(), new byte[0]);
        }

        /** Guards against a request that crashes its target each time it is sent. */
        @Test
        void requestThatCrashesItsTargetIsNotRunAgainAndAgain() {
            int runs = 0;
            for (int i = 0; i < 10; i++) {
                TestRequest beside = accept();
                TestRequest crashing = accept(mCrashing);
                runs += crashing.mDispatched ? 1 : 0;
                if (crashing.mDispatched) {
                    mRequests.crashed(List.of(beside, crashing));
                } else {
                    assertThat(crashing.mRefusal).isEqualTo(ErrorKind.QUARANTINED);
                    mRequests.completed(beside, answer());
                }
            }
            assertThat(runs).as("targets that crashed").isEqualTo(CrashTable.CRASH_LIMIT);
            assertThat(mRequests.isIdle()).isTrue();
        }

        /** Guards against a failing target whose 500 lets a crashing request run again. */
        @Test
        void failedAnswerDoesNotClearASuspect() {
            crashBesideOthers(accept(), accept(mCrashing));
            mRequests.completed(accept(mCrashing), new StoredAnswer(500, List.of(), new byte[0]));
            assertThat(mCrashes.status(mCrashing)).isEqualTo(CrashGuard.Status.SUSPECT);
        }

        /** Guards against refusing a request because it was in flight beside the crashing one. */
        @Test
        void commonRequestsInFlightBesideCrashesAreServedAfterwards() {
            Fingerprint common = new Fingerprint(2, 0);
            for (int i = 0; i < 3; i++) {
                TestRequest beside = accept(common);
                TestRequest crashing = accept(new Fingerprint(3, i));
                crashBesideOthers(beside, crashing);
                TestRequest repeated = accept(common);
                assertThat(repeated.mDispatched).isTrue();
                mRequests.completed(repeated, answer());
            }
            assertThat(mCrashes.status(common)).isEqualTo(CrashGuard.Status.CLEAR);
        }

        /** Guards against a crash that is attributed to the same request of other callers. */
        @Test
        void onlyTheCallerWhoseRequestCrashesTargetsIsRefused() {
            Fingerprint content = new Fingerprint(4, 0);
            Fingerprint crashing = content.withOrigin("mesh", "desk");
            List<Fingerprint> others =
                    List.of(
                            content.withOrigin("mesh", "intake"),
                            content.withOrigin("mesh", "rack"),
                            content.withOrigin("other", "desk"));
            publishSlots(12);
            int crashes = 0;
            for (int round = 0; round < 10; round++) {
                List<TestRequest> inFlight = new ArrayList<>();
                others.forEach(other -> inFlight.add(accept(other)));
                others.forEach(other -> inFlight.add(accept(other)));
                TestRequest bad = accept(crashing);
                inFlight.removeIf(request -> !request.mDispatched);
                if (bad.mDispatched) {
                    crashes++;
                    inFlight.add(bad);
                    mRequests.crashed(inFlight);
                } else {
                    assertThat(bad.mRefusal).isEqualTo(ErrorKind.QUARANTINED);
                    inFlight.forEach(request -> mRequests.completed(request, answer()));
                }
                for (Fingerprint other : others) {
                    TestRequest later = accept(other);
                    assertThat(later.mDispatched).isTrue();
                    mRequests.completed(later, answer());
                }
            }
            assertThat(crashes).isBetween(1, 3);
        }

        /** Guards against a suspect that is held back until after its target has left. */
        @Test
        void removedTargetRefusesHeldSuspects() {
            crashBesideOthers(accept(mCrashing), accept(new Fingerprint(2, 0)));
            TestRequest running = accept(mCrashing);
            TestRequest held = accept(new Fingerprint(2, 0));
            assertThat(running.mDispatched).isTrue();
            assertThat(held.mDispatched).isFalse();
            publishWithoutTarget();
            assertThat(held.mRefusal).isEqualTo(ErrorKind.LEAVING);
        }

        /** Guards against a second crash that cannot be attributed to one suspect. */
        @Test
        void suspectsRunOneAtATimeBesideOtherRequests() {
            TestRequest first = accept();
            TestRequest second = accept();
            mRequests.crashed(List.of(first, second));
            TestRequest suspect = accept(first.mFingerprint);
            TestRequest held = accept(second.mFingerprint);
            TestRequest other = accept();
            assertThat(suspect.mDispatched).isTrue();
            assertThat(held.mDispatched).isFalse();
            assertThat(other.mDispatched).isTrue();
            mRequests.completed(suspect, answer());
            assertThat(held.mDispatched).isTrue();
        }

        /** Guards against suspects that wait without a bound or beyond their deadline. */
        @Test
        void heldSuspectsAreBoundedAndExpire() {
            List<TestRequest> requests = new ArrayList<>();
            publishSlots(8);
            for (int i = 0; i < 8; i++) {
                requests.add(accept());
            }
            mRequests.crashed(requests);
            List<TestRequest> repeated = new ArrayList<>();
            requests.forEach(request -> repeated.add(accept(request.mFingerprint)));
            assertThat(repeated.stream().filter(request -> request.mDispatched)).hasSize(1);
            assertThat(repeated.stream().filter(request -> request.mRefusal != null))
                    .hasSize(7 - SlotRequests.HELD_SUSPECT_LIMIT)
                    .allMatch(request -> request.mRefusal == ErrorKind.OVERLOADED);
            mTicker.advance(10, TimeUnit.SECONDS);
            mRequests.tick();
            assertThat(repeated.stream().filter(request -> request.mRefusal != null)).hasSize(7);
            mRequests.failed(repeated.get(0), ErrorKind.DEADLINE_EXCEEDED);
            assertThat(mRequests.isIdle()).isTrue();
        }

        /** Guards against dispatching a queued request that became deadly while it waited. */
        @Test
        void queuedRequestIsRefusedOnceItIsKnownToCrashTargets() {
            TestRequest first = accept();
            TestRequest second = accept();
            TestRequest queued = accept(mCrashing);
            assertThat(queued.mDispatched).isFalse();
            mCrashes.merge(List.of(count("a", 1), count("b", 1)));
            mRequests.completed(first, answer());
            assertThat(queued.mRefusal).isEqualTo(ErrorKind.QUARANTINED);
            assertThat(second.mRefusal).isNull();
        }

        /** Guards against a crash by a request that is known to crash targets and still runs. */
        @Test
        void runningRequestIsAbortedOnceItIsKnownToCrashTargets() {
            TestRequest running = accept(mCrashing);
            TestRequest other = accept();
            mCrashes.merge(List.of(count("a", 1), count("b", 1)));
            mRequests.tick();
            assertThat(running.mAborted).isTrue();
            assertThat(running.mRefusal).isEqualTo(ErrorKind.UPSTREAM_FAILED);
            assertThat(other.mAborted).isFalse();
            assertThat(mAdmission.load().getRunning()).isEqualTo(1);
        }

        private CrashCount count(String reporter, int lastCrashAsSuspect) {
            return CrashCount.newBuilder()
                    .setFingerprint(mCrashing.toBytes())
                    .setReporter(reporter)
                    .setCrashes(1)
                    .setLastCrashAsSuspect(lastCrashAsSuspect)
                    .build();
        }
    }
}
