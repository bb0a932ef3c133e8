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

    private TestWork submit(AdmissionClass admissionClass, long milliseconds) {
        return submit(admissionClass, milliseconds, false);
    }

    private TestWork submit(AdmissionClass admissionClass, long milliseconds, boolean suspect) {
        TestWork work = new TestWork(admissionClass, deadline(milliseconds));
        work.mSuspect = suspect;
        mController.submit(work);
        return work;
    }

    private long deadline(long milliseconds) {
        return mTicker.nanoTime() + TimeUnit.MILLISECONDS.toNanos(milliseconds);
    }

    private void complete(TestWork work, long milliseconds) {
        mTicker.advance(milliseconds, TimeUnit.MILLISECONDS);
        mController.complete(work);
    }

    @Nested
    class Queues {
        @Test
        void earliestDeadlineOfAClassRunsFirst() {
            TestWork first = submit(ORDERS, 1000);
            submit(ORDERS, 1000);
            TestWork late = submit(ORDERS, 900);
            TestWork early = submit(ORDERS, 500);
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
            TestWork refused = submit(ORDERS, 1000);
            assertThat(refused.mRefusal).isEqualTo(ErrorKind.OVERLOADED);
            assertThat(refused.mRetryAfter).isPositive();
            assertThat(submit(LOOKUPS, 1000).mRefusal).isNull();
        }

        /** Guards invariant 5: work cancelled while it waits is never started. */
        @Test
        void cancelledWorkDoesNotRun() {
            TestWork first = submit(ORDERS, 1000);
            TestWork second = submit(ORDERS, 1000);
            TestWork waiting = submit(ORDERS, 1000);
            assertThat(mController.cancel(first)).isFalse();
            assertThat(mController.cancel(waiting)).isTrue();
            complete(first, 1);
            complete(second, 1);
            assertThat(waiting.mStarted).isFalse();
            assertThat(mController.isIdle()).isTrue();
        }

        /** Guards against a slot that is lost or used twice when the target answers at once. */
        @Test
        void workMayCompleteAndSubmitFromItsStart() {
            TestWork work = new TestWork(ORDERS, deadline(1000));
            TestWork[] next = new TestWork[1];
            work.mOnStart =
                    () -> {
                        next[0] = submit(ORDERS, 1000);
                        mController.complete(work);
                    };
            mController.submit(work);
            assertThat(next[0].mStarted).isTrue();
            assertThat(mController.load().getRunning()).isEqualTo(1);
        }

        @Test
        void leavingRefusesNewWorkAndFinishesTheQueue() {
            TestWork first = submit(ORDERS, 1000);
            TestWork second = submit(ORDERS, 1000);
            TestWork waiting = submit(ORDERS, 1000);
            mController.leave();
            assertThat(submit(ORDERS, 1000).mRefusal).isEqualTo(ErrorKind.LEAVING);
            complete(first, 1);
            complete(second, 1);
            complete(waiting, 1);
            assertThat(waiting.mStarted).isTrue();
            assertThat(mController.isIdle()).isTrue();
        }
    }

    @Nested
    class Deadlines {
        @Test
        void workThatCannotMeetItsDeadlineIsRefusedAtOnce() {
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
        void waitingWorkIsRefusedWhenItsDeadlineComesTooNear() {
            complete(submit(LOOKUPS, 1000), 100);
            submit(LOOKUPS, 5000);
            submit(LOOKUPS, 5000);
            TestWork waiting = submit(LOOKUPS, 300);
            mTicker.advance(201, TimeUnit.MILLISECONDS);
            mController.tick();
            assertThat(waiting.mRefusal).isEqualTo(ErrorKind.DEADLINE_BEFORE_RUN);
        }

        /** Guards against a mean that refuses all work and so never changes again. */
        @Test
        void highMeanDecaysWhileNothingRuns() {
            complete(submit(LOOKUPS, 5000), 1000);
            assertThat(submit(LOOKUPS, 500).mRefusal).isNotNull();
            mTicker.advance(3, TimeUnit.SECONDS);
            assertThat(submit(LOOKUPS, 500).mRefusal).isNull();
        }
    }

    @Nested
    class Suspects {
        /** Guards innocent neighbours: nothing else is at the target when a suspect crashes it. */
        @Test
        void suspectRunsAlone() {
            TestWork first = submit(LOOKUPS, 5000);
            TestWork suspect = submit(LOOKUPS, 5000, true);
            TestWork held = submit(LOOKUPS, 5000);
            assertThat(suspect.mStarted || held.mStarted).isFalse();
            complete(first, 10);
            assertThat(suspect.mStarted).isTrue();
            assertThat(held.mStarted).isFalse();
            complete(suspect, 10);
            assertThat(held.mStarted).isTrue();
        }

        @Test
        void clearedSuspectRunsBesideOthers() {
            TestWork first = submit(LOOKUPS, 5000);
            TestWork suspect = submit(LOOKUPS, 5000, true);
            suspect.mSuspect = false;
            mController.tick();
            assertThat(first.mStarted && suspect.mStarted).isTrue();
        }

        /** Guards against suspects that keep the target from all other work. */
        @Test
        void suspectsGetAFifthOfTheTimeAndDoNotWaitForLongWorkForever() {
            complete(submit(LOOKUPS, 50_000, true), 100);
            TestWork ordinary = submit(LOOKUPS, 50_000);
            TestWork next = submit(LOOKUPS, 50_000, true);
            TestWork other = submit(LOOKUPS, 50_000);
            assertThat(ordinary.mStarted).isTrue();
            mTicker.advance(1100, TimeUnit.MILLISECONDS);
            mController.tick();
            assertThat(other.mStarted).as("a barrier ends after 1 s").isTrue();
            assertThat(next.mStarted).isFalse();
        }
    }

    @Nested
    class Overload {
        /** Guards the weighted service under overload; prints the goodput of each class. */
        @Test
        void classesShareTheSlotsByWeightAtTwiceTheCapacity() {
            AdmissionController controller = AdmissionController.of(mTicker, 12);
            AdmissionClass heavy = new AdmissionClass("cargos", 3, 40);
            AdmissionClass light = new AdmissionClass("saldo", 1, 40);
            Map<TestWork, Long> running = new LinkedHashMap<>();
            Map<AdmissionClass, Integer> done = new LinkedHashMap<>();
            List<TestWork> all = new ArrayList<>();
            Random random = new Random(3);
            long end = deadline(20_000);
            while (mTicker.nanoTime() < end) {
                for (AdmissionClass each : List.of(heavy, light)) {
                    if (random.nextDouble() < 0.6) {
                        TestWork work = new TestWork(each, deadline(200));
                        long service = 10 + random.nextInt(21);
                        work.mOnStart = () -> running.put(work, deadline(service));
                        controller.submit(work);
                        all.add(work);
                    }
                }
                mTicker.advance(1, TimeUnit.MILLISECONDS);
                for (TestWork work : List.copyOf(running.keySet())) {
                    if (running.get(work) <= mTicker.nanoTime()) {
                        running.remove(work);
                        controller.complete(work);
                        boolean met = mTicker.nanoTime() <= work.mDeadline;
                        done.merge(work.mClass, met ? 1 : 0, Integer::sum);
                    }
                }
                controller.tick();
            }
            double share = (double) done.get(heavy) / done.get(light);
            long inTime = done.get(heavy) + done.get(light);
            long late = all.stream().filter(w -> w.mStarted).count() - inTime - running.size();
            System.out.printf(
                    "overload for 20 s: offered %d, in time: weight 3 %d, weight 1 %d, late %d%n",
                    all.size(), done.get(heavy), done.get(light), late);
            assertThat(share).isBetween(2.5, 3.5);
            assertThat(inTime).as("of a capacity of 12000").isGreaterThan(11_000);
            assertThat(late).isLessThan(all.size() / 100);
        }
    }
}
