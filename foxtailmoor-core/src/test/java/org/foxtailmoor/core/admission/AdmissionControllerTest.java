package org.foxtailmoor.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.base.ErrorKind;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class AdmissionControllerTest {
    private static final AdmissionClass ORDERS = new AdmissionClass("orders", 1, 3);
    private static final AdmissionClass LOOKUPS = new AdmissionClass("lookups", 1, 50);

    private final MockTicker mTicker = Ticker.newMockTicker();
    private final AdmissionController mController = AdmissionController.of(mTicker, 2);

    private TestRequest submit(AdmissionClass admissionClass, long milliseconds) {
        return submit(admissionClass, milliseconds, false);
    }

    private TestRequest submit(AdmissionClass admissionClass, long milliseconds, boolean suspect) {
        TestRequest request = new TestRequest(admissionClass, deadline(milliseconds));
        request.mSuspect = suspect;
        mController.submit(request);
        return request;
    }

    private long deadline(long milliseconds) {
        return mTicker.nanoTime() + TimeUnit.MILLISECONDS.toNanos(milliseconds);
    }

    private void complete(TestRequest request, long milliseconds) {
        mTicker.advance(milliseconds, TimeUnit.MILLISECONDS);
        mController.complete(request);
    }

    @Nested
    class Queues {
        @Test
        void earliestDeadlineOfAClassRunsFirst() {
            TestRequest first = submit(ORDERS, 1000);
            submit(ORDERS, 1000);
            TestRequest late = submit(ORDERS, 900);
            TestRequest early = submit(ORDERS, 500);
            complete(first, 10);
            assertThat(early.mStarted).isTrue();
            assertThat(late.mStarted).isFalse();
            assertThat(mController.load().getRunning()).isEqualTo(2);
            assertThat(mController.load().getQueued()).isEqualTo(1);
        }

        @Test
        void fullQueueRefusesItsClassOnly() {
            for (int i = 0; i < 5; i++) {
                assertThat(submit(ORDERS, 1000).mRefusal).isNull();
            }
            TestRequest refused = submit(ORDERS, 1000);
            assertThat(refused.mRefusal).isEqualTo(ErrorKind.OVERLOADED);
            assertThat(refused.mRetryAfter).isPositive();
            assertThat(submit(LOOKUPS, 1000).mRefusal).isNull();
        }

        /** Guards invariant 5: a request cancelled while queued is never started. */
        @Test
        void cancelledRequestDoesNotRun() {
            TestRequest first = submit(ORDERS, 1000);
            TestRequest second = submit(ORDERS, 1000);
            TestRequest queued = submit(ORDERS, 1000);
            assertThat(mController.cancel(first)).isFalse();
            assertThat(mController.cancel(queued)).isTrue();
            complete(first, 1);
            complete(second, 1);
            assertThat(queued.mStarted).isFalse();
            assertThat(mController.isIdle()).isTrue();
        }

        /**
         * Guards against leaking or double-counting a slot if a request completes within start().
         */
        @Test
        void requestMayCompleteAndSubmitFromItsStartCallback() {
            TestRequest request = new TestRequest(ORDERS, deadline(1000));
            TestRequest[] next = new TestRequest[1];
            request.mOnStart =
                    () -> {
                        next[0] = submit(ORDERS, 1000);
                        mController.complete(request);
                    };
            mController.submit(request);
            assertThat(next[0].mStarted).isTrue();
            assertThat(mController.load().getRunning()).isEqualTo(1);
        }

        @Test
        void leavingRefusesNewRequestsAndDrainsTheQueue() {
            TestRequest first = submit(ORDERS, 1000);
            TestRequest second = submit(ORDERS, 1000);
            TestRequest queued = submit(ORDERS, 1000);
            mController.leave();
            assertThat(submit(ORDERS, 1000).mRefusal).isEqualTo(ErrorKind.LEAVING);
            complete(first, 1);
            complete(second, 1);
            complete(queued, 1);
            assertThat(queued.mStarted).isTrue();
            assertThat(mController.isIdle()).isTrue();
        }
    }

    @Nested
    class Deadlines {
        @Test
        void requestThatCannotMeetItsDeadlineIsRefusedAtSubmission() {
            complete(submit(LOOKUPS, 1000), 100);
            assertThat(submit(LOOKUPS, 99).mRefusal).isEqualTo(ErrorKind.DEADLINE_BEFORE_RUN);
            submit(LOOKUPS, 5000);
            submit(LOOKUPS, 5000);
            for (int i = 0; i < 4; i++) {
                assertThat(submit(LOOKUPS, 400).mRefusal).isNull();
            }
            assertThat(submit(LOOKUPS, 300).mRefusal).isNull();
            assertThat(submit(LOOKUPS, 340).mRefusal).isNull();
            assertThat(submit(LOOKUPS, 400).mRefusal).isEqualTo(ErrorKind.DEADLINE_BEFORE_RUN);
        }

        @Test
        void queuedRequestIsRefusedWhenItCanNoLongerMeetItsDeadline() {
            complete(submit(LOOKUPS, 1000), 100);
            submit(LOOKUPS, 5000);
            submit(LOOKUPS, 5000);
            TestRequest queued = submit(LOOKUPS, 300);
            mTicker.advance(201, TimeUnit.MILLISECONDS);
            mController.tick();
            assertThat(queued.mRefusal).isEqualTo(ErrorKind.DEADLINE_BEFORE_RUN);
        }

        /**
         * Guards against a mean that refuses all requests and therefore never gets a new sample.
         */
        @Test
        void highMeanDecaysWhileTheTargetIsIdle() {
            complete(submit(LOOKUPS, 5000), 1000);
            assertThat(submit(LOOKUPS, 500).mRefusal).isNotNull();
            mTicker.advance(3, TimeUnit.SECONDS);
            assertThat(submit(LOOKUPS, 500).mRefusal).isNull();
        }
    }

    @Nested
    class Suspects {
        /** Guards against a suspect that crashes the target while other requests are running. */
        @Test
        void suspectRunsInIsolation() {
            TestRequest first = submit(LOOKUPS, 5000);
            TestRequest suspect = submit(LOOKUPS, 5000, true);
            TestRequest blocked = submit(LOOKUPS, 5000);
            assertThat(suspect.mStarted || blocked.mStarted).isFalse();
            complete(first, 10);
            assertThat(suspect.mStarted).isTrue();
            assertThat(blocked.mStarted).isFalse();
            complete(suspect, 10);
            assertThat(blocked.mStarted).isTrue();
        }

        @Test
        void clearedSuspectRunsConcurrently() {
            TestRequest first = submit(LOOKUPS, 5000);
            TestRequest suspect = submit(LOOKUPS, 5000, true);
            suspect.mSuspect = false;
            mController.tick();
            assertThat(first.mStarted && suspect.mStarted).isTrue();
        }

        /** Guards against suspects that starve other requests; they get a fifth of the time. */
        @Test
        void barrierPausesAfterASuspectAndIsAbandonedAfterOneSecond() {
            complete(submit(LOOKUPS, 50_000, true), 100);
            TestRequest regular = submit(LOOKUPS, 50_000);
            TestRequest next = submit(LOOKUPS, 50_000, true);
            TestRequest other = submit(LOOKUPS, 50_000);
            assertThat(regular.mStarted).isTrue();
            mTicker.advance(1100, TimeUnit.MILLISECONDS);
            mController.tick();
            assertThat(other.mStarted).as("barrier abandoned after 1 s").isTrue();
            assertThat(next.mStarted).isFalse();
        }
    }

    @Nested
    class Overload {
        /** Guards weighted fairness under overload; prints the goodput of each class. */
        @Test
        void classesShareTheSlotsByWeightAtTwiceTheCapacity() {
            AdmissionController controller = AdmissionController.of(mTicker, 12);
            AdmissionClass heavy = new AdmissionClass("cargos", 3, 40);
            AdmissionClass light = new AdmissionClass("saldo", 1, 40);
            Map<TestRequest, Long> running = new LinkedHashMap<>();
            Map<AdmissionClass, Integer> done = new LinkedHashMap<>();
            List<TestRequest> all = new ArrayList<>();
            Random random = new Random(3);
            long end = deadline(20_000);
            while (mTicker.nanoTime() < end) {
                for (AdmissionClass each : List.of(heavy, light)) {
                    if (random.nextDouble() < 0.6) {
                        TestRequest request = new TestRequest(each, deadline(200));
                        long service = 10 + random.nextInt(21);
                        request.mOnStart = () -> running.put(request, deadline(service));
                        controller.submit(request);
                        all.add(request);
                    }
                }
                mTicker.advance(1, TimeUnit.MILLISECONDS);
                for (TestRequest request : List.copyOf(running.keySet())) {
                    if (running.get(request) <= mTicker.nanoTime()) {
                        running.remove(request);
                        controller.complete(request);
                        boolean onTime = mTicker.nanoTime() <= request.mDeadline;
                        done.merge(request.mClass, onTime ? 1 : 0, Integer::sum);
                    }
                }
                controller.tick();
            }
            double share = (double) done.get(heavy) / done.get(light);
            long onTimeCount = done.get(heavy) + done.get(light);
            long late =
                    all.stream().filter(each -> each.mStarted).count()
                            - onTimeCount
                            - running.size();
            System.out.printf(
                    "overload for 20 s: offered %d, on time: weight 3 %d, weight 1 %d, late %d%n",
                    all.size(), done.get(heavy), done.get(light), late);
            assertThat(share).isBetween(2.5, 3.5);
            assertThat(onTimeCount).as("requests on time, capacity 12000").isGreaterThan(11_000);
            assertThat(late).isLessThan(all.size() / 100);
        }
    }
}
