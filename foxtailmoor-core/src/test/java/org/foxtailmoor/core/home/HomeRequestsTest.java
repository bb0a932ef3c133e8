package org.foxtailmoor.core.home;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.core.admission.AdmissionController;
import org.foxtailmoor.core.admission.FleetLimits;
import org.foxtailmoor.core.distribution.ViewLease;
import org.foxtailmoor.core.routing.EpochClock;
import org.foxtailmoor.core.routing.IdempotencyKey;
import org.foxtailmoor.core.routing.Route;
import org.foxtailmoor.core.routing.RoutingSnapshot;
import org.foxtailmoor.core.routing.RoutingSnapshotBuilder;
import org.foxtailmoor.protocol.generated.RequestStart;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class HomeRequestsTest {
    private static final StoredAnswer ANSWER = new StoredAnswer(200, List.of(), new byte[] {7});
    private static final long SLOTS = 2;

    private final MockTicker mTicker = Ticker.newMockTicker();
    private final EpochClock mClock = EpochClock.of(mTicker, 1_000_000);
    private final RoutingSnapshot mSnapshot =
            new RoutingSnapshotBuilder()
                    .service("s", (int) SLOTS)
                    .route("order", "s", "POST", "/", false)
                    .route("read", "s", "GET", "/", true)
                    .route("keyed", "s", "PUT", "/", e -> e.setRequireKey(true).setLimitId("l"))
                    .route("limited", "s", "*", "/", e -> e.setLimitId("l"))
                    .upstreams("s", "doo", "sapporo-a", "me")
                    .upstreams("s", "dohoku", "nayoro-a", "far")
                    .build(1, 1);
    private final CrashGuard mGuard = CrashGuard.of(mTicker, "s", "me");
    private final List<Call> mDispatched = new ArrayList<>();
    private boolean mLeaseHeld = true;
    private final HomeRequests mHome =
            HomeRequests.of(
                    mTicker,
                    AdmissionController.of(mTicker, (int) SLOTS),
                    FleetLimits.of(mTicker),
                    IdempotencyKeyStore.of(mTicker),
                    HomeTerms.of(mClock, "me", this::lease),
                    mGuard);

    HomeRequestsTest() {
        mHome.update(mSnapshot, "s");
        mHome.tick();
        advance(10_000);
    }

    private ViewLease lease() {
        return new ViewLease(
                RoutingSnapshotBuilder.version(1), mLeaseHeld, mTicker.nanoTime() + 1, 0);
    }

    private void advance(long milliseconds) {
        mTicker.advance(milliseconds, TimeUnit.MILLISECONDS);
        mHome.tick();
    }

    private IdempotencyKey key(String text) {
        return new IdempotencyKey(text, mClock.milliseconds());
    }

    private Call accept(String route, IdempotencyKey key, long body) {
        return accept(new Call(mSnapshot.routeById(route), key, new Fingerprint(0, body)));
    }

    private Call accept(Call call) {
        mHome.accept(call);
        return call;
    }

    private final class Call implements HomeRequest {
        private final Route mRoute;
        private final IdempotencyKey mKey;
        private final Fingerprint mFingerprint;
        private final long mDeadline = mTicker.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        private String mCaller = "rack";
        private StoredAnswer mAnswer;
        private ErrorKind mRefusal;

        private Call(Route route, IdempotencyKey key, Fingerprint fingerprint) {
            mRoute = route;
            mKey = key;
            mFingerprint = fingerprint;
        }

        private Call from(String caller) {
            mCaller = caller;
            return this;
        }

        private boolean isDispatched() {
            return mDispatched.contains(this);
        }

        @Override
        public Route route() {
            return mRoute;
        }

        @Override
        public IdempotencyKey key() {
            return mKey;
        }

        @Override
        public Fingerprint fingerprint() {
            return mFingerprint;
        }

        @Override
        public Fingerprint crashFingerprint() {
            return mFingerprint.withOrigin("", mCaller);
        }

        @Override
        public long deadlineNanoseconds() {
            return mDeadline;
        }

        @Override
        public void dispatch() {
            mDispatched.add(this);
        }

        @Override
        public void answer(StoredAnswer answer) {
            mAnswer = answer;
        }

        @Override
        public void refuse(ErrorKind kind, int retryAfterMilliseconds) {
            mRefusal = kind;
        }
    }

    @Nested
    class Keys {
        @Test
        void repeatsJoinTheRunningRequestAndGetItsAnswer() {
            IdempotencyKey key = key("a");
            Call first = accept("order", key, 1);
            Call joined = accept("order", key, 1);
            mHome.completed(first, ANSWER);
            Call later = accept("order", key, 1);
            assertThat(mDispatched).containsExactly(first);
            assertThat(joined.mAnswer).isSameAs(ANSWER);
            assertThat(later.mAnswer).isSameAs(ANSWER);
            assertThat(accept("order", key, 2).mRefusal).isEqualTo(ErrorKind.KEY_INVALID);
        }

        /** Guards invariant 6: a process may lose its lease in a pause while a key is queued. */
        @Test
        void leaseIsCheckedAgainWhenAWaitingKeyGetsItsSlot() {
            Call running = accept("order", null, 1);
            accept("order", null, 2);
            Call queued = accept("order", key("a"), 3);
            mLeaseHeld = false;
            mHome.completed(running, ANSWER);
            assertThat(queued.isDispatched()).isFalse();
            assertThat(queued.mRefusal).isEqualTo(ErrorKind.HOME_UNAVAILABLE);
        }

        @Test
        void leaseIsCheckedAgainAfterAConnectionWasOpened() {
            Call call = accept("order", key("a"), 1);
            assertThat(mHome.confirmDispatch(call)).isTrue();
            mLeaseHeld = false;
            assertThat(mHome.confirmDispatch(call)).isFalse();
            assertThat(call.mRefusal).isEqualTo(ErrorKind.HOME_UNAVAILABLE);
            assertThat(mHome.isIdle()).isTrue();
        }

        /** Guards invariant 5: no repeat of a dispatched key is reported as not run. */
        @Test
        void repeatsOfAFailedKeyGetOutcomeUnknown() {
            Call call = accept("order", key("a"), 1);
            Call joined = accept("order", call.key(), 1);
            assertThatThrownBy(() -> mHome.failed(call, ErrorKind.OVERLOADED))
                    .isInstanceOf(IllegalArgumentException.class);
            mHome.failed(call, ErrorKind.UPSTREAM_FAILED);
            mHome.leave();
            assertThat(call.mRefusal).isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
            assertThat(joined.mRefusal).isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
            assertThat(accept("order", call.key(), 1).mRefusal)
                    .isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
            assertThat(accept("order", key("b"), 1).mRefusal).isEqualTo(ErrorKind.LEAVING);
        }

        @Test
        void cancellationOfAQueuedRequestKeepsTheRepeatThatJoinedIt() {
            Call running = accept("read", null, 1);
            accept("read", null, 2);
            Call queued = accept("order", key("a"), 3);
            Call joined = accept("order", queued.key(), 3);
            assertThat(mHome.cancel(queued)).isEqualTo(Cancellation.NOT_RUN);
            assertThat(mHome.cancel(running)).isEqualTo(Cancellation.CANCEL_AT_TARGET);
            mHome.failed(running, ErrorKind.CANCELLED);
            assertThat(queued.isDispatched()).isFalse();
            assertThat(joined.isDispatched()).isTrue();
            assertThat(mHome.cancel(joined)).isEqualTo(Cancellation.KEEP_RUNNING);
        }

        @Test
        void joinedRequestPastItsDeadlineIsNotReportedAsNotRun() {
            Call first = accept("order", key("a"), 1);
            Call joined = accept("order", first.key(), 1);
            advance(5_001);
            assertThat(joined.mRefusal).isEqualTo(ErrorKind.DEADLINE_EXCEEDED);
        }
    }

    @Nested
    class RemovedTarget {
        private void publishWithoutTarget() {
            mHome.update(
                    new RoutingSnapshotBuilder()
                            .service("s", (int) SLOTS)
                            .route("order", "s", "POST", "/", false)
                            .upstreams("s", "doo", "sapporo-a", "other")
                            .build(1, 2),
                    "s");
        }

        private RequestStart start(String key) {
            return RequestStart.newBuilder()
                    .setServiceId("s")
                    .setRouteId("order")
                    .setIdempotencyKey(key)
                    .build();
        }

        /** Guards against queued requests that reach a target long after it was removed. */
        @Test
        void queuedRequestsAreRefusedButRunningOnesComplete() {
            Call running = accept("order", key("a"), 1);
            accept("order", null, 2);
            Call queued = accept("order", null, 3);
            Call keyed = accept("order", key("b"), 4);
            Call joined = accept("order", keyed.key(), 4);
            publishWithoutTarget();
            assertThat(List.of(queued, keyed, joined))
                    .extracting(call -> call.mRefusal)
                    .containsOnly(ErrorKind.LEAVING);
            mHome.completed(running, ANSWER);
            assertThat(mDispatched).doesNotContain(queued, keyed, joined);
            assertThat(accept("order", running.key(), 1).mAnswer).isSameAs(ANSWER);
        }

        @Test
        void newRequestsAreRefusedUntilTheTargetIsListedAgain() {
            publishWithoutTarget();
            assertThat(mHome.refusalReason(start(""))).isEqualTo(ErrorKind.LEAVING);
            assertThat(accept("order", key("a"), 1).mRefusal).isEqualTo(ErrorKind.LEAVING);
            mHome.update(mSnapshot, "s");
            assertThat(mHome.refusalReason(start(""))).isNull();
            assertThat(accept("order", null, 1).isDispatched()).isTrue();
        }
    }

    @Nested
    class CrashingRequests {
        private static final long CRASHING_BODY = 66;

        /** Ends all dispatched requests: by a crash if the crashing one is among them. */
        private void runTarget(long crashingBody) {
            List<Call> inFlight = List.copyOf(mDispatched);
            mDispatched.clear();
            if (inFlight.stream().anyMatch(call -> call.mFingerprint.low() == crashingBody)) {
                mHome.crashed(inFlight);
            } else {
                inFlight.forEach(call -> mHome.completed(call, ANSWER));
            }
        }

        /**
         * Guards against a request that crashes target after target, and poisoning others for it.
         */
        @Test
        void crashingRequestIsPoisonedAndOthersAreClearedInIsolation() {
            Call crashing = accept("order", null, CRASHING_BODY);
            Call bystander = accept("read", null, 1);
            runTarget(CRASHING_BODY);
            assertThat(crashing.mRefusal).isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
            assertThat(bystander.mRefusal).isEqualTo(ErrorKind.UPSTREAM_FAILED);

            Call again = accept("read", null, 1);
            Call concurrent = accept("read", null, 2);
            assertThat(again.isDispatched()).isTrue();
            assertThat(concurrent.isDispatched()).as("the suspect runs in isolation").isFalse();
            runTarget(CRASHING_BODY);
            assertThat(mGuard.status(bystander.mFingerprint, 2)).isEqualTo(CrashGuard.Status.CLEAR);
            assertThat(concurrent.isDispatched()).isTrue();
            runTarget(CRASHING_BODY);

            Call repeat = accept("order", null, CRASHING_BODY);
            Call queued = accept("order", null, CRASHING_BODY);
            Call unrelated = accept("read", null, 3);
            runTarget(CRASHING_BODY);
            assertThat(repeat.mRefusal).isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
            assertThat(queued.mRefusal).as("queued repeat").isEqualTo(ErrorKind.POISONED);
            assertThat(accept("order", null, CRASHING_BODY).mRefusal).isEqualTo(ErrorKind.POISONED);
            runTarget(CRASHING_BODY);
            assertThat(unrelated.mRefusal).isNull();
            assertThat(mGuard.status(unrelated.mFingerprint, 2)).isEqualTo(CrashGuard.Status.CLEAR);
            assertThat(mHome.isIdle()).isTrue();
        }

        private Call acceptFrom(String caller) {
            Fingerprint fingerprint = new Fingerprint(0, CRASHING_BODY);
            return accept(new Call(mSnapshot.routeById("read"), null, fingerprint).from(caller));
        }

        /**
         * Guards against answers to other callers that clear a request which crashes its targets.
         */
        @Test
        void sameRequestOfAnotherCallerNeitherClearsACrashingOneNorIsRefusedForIt() {
            mHome.completed(acceptFrom("intake"), ANSWER);
            int crashes = 0;
            for (int round = 0; round < 6; round++) {
                Call bad = acceptFrom("desk");
                if (bad.isDispatched()) {
                    crashes++;
                    mHome.crashed(List.of(bad));
                } else {
                    assertThat(bad.mRefusal).isEqualTo(ErrorKind.POISONED);
                }
                Call good = acceptFrom("intake");
                assertThat(good.isDispatched()).isTrue();
                mHome.completed(good, ANSWER);
            }
            assertThat(crashes).isEqualTo(2);
        }

        /** Guards against a failing target whose 500 lets a crashing request run again. */
        @Test
        void failedAnswerDoesNotClearASuspect() {
            mHome.crashed(List.of(acceptFrom("desk")));
            Call failed = acceptFrom("desk");
            mHome.completed(failed, new StoredAnswer(500, List.of(), new byte[0]));
            assertThat(mHome.crashStatus(failed)).isEqualTo(CrashGuard.Status.SUSPECT);
        }
    }

    @Test
    void requestToAnUnreachableTargetIsNotRun() {
        Call call = accept("order", key("a"), 1);
        mHome.notRun(call, ErrorKind.NO_UPSTREAM);
        assertThat(call.mRefusal).isEqualTo(ErrorKind.NO_UPSTREAM);
        assertThat(accept("order", call.key(), 1).isDispatched()).isTrue();
    }

    /** Guards against a limit that is divided among nodes which keyed requests never reach. */
    @Test
    void limitOfAKeyedRouteIsDividedWithinTheHomeRegion() {
        for (int i = 0; i < 10; i++) {
            assertThat(accept("keyed", key("k" + i), i).mRefusal).isNull();
            assertThat(accept("limited", null, i).mRefusal)
                    .isEqualTo(i < 5 ? null : ErrorKind.RATE_LIMITED);
        }
        assertThat(accept("keyed", key("k10"), 10).mRefusal).isEqualTo(ErrorKind.RATE_LIMITED);
    }
}
