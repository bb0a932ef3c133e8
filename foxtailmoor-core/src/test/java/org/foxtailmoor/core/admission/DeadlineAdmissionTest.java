package org.foxtailmoor.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.base.ErrorKind;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class DeadlineAdmissionTest {
    private static final int SLOTS = 2;

    private final MockTicker mTicker = Ticker.newMockTicker();
    private final DeadlineAdmission mAdmission = DeadlineAdmission.of(mTicker, SLOTS);

    /** Request with a priority and a latency objective that records what was done with it. */
    private final class ObjectiveRequest implements AdmissionRequest {
        private String mKind = "";
        private final int mPriority;
        private final long mObjective;
        private final long mDeadline;
        private boolean mStarted;
        private ErrorKind mRefusal;
        private int mRetryAfter;

        ObjectiveRequest(int priority, long objectiveMilliseconds, long deadlineMilliseconds) {
            mPriority = priority;
            mObjective = mTicker.nanoTime() + milliseconds(objectiveMilliseconds);
            mDeadline = mTicker.nanoTime() + milliseconds(deadlineMilliseconds);
        }

        @Override
        public AdmissionClass admissionClass() {
            return new AdmissionClass(mKind, 1, 0);
        }

        @Override
        public int priority() {
            return mPriority;
        }

        @Override
        public long objectiveNanoseconds() {
            return mObjective;
        }

        @Override
        public long deadlineNanoseconds() {
            return mDeadline;
        }

        @Override
        public boolean requiresIsolation() {
            return false;
        }

        @Override
        public boolean start() {
            mStarted = true;
            return true;
        }

        @Override
        public void refuse(ErrorKind kind, int retryAfterMilliseconds) {
            mRefusal = kind;
            mRetryAfter = retryAfterMilliseconds;
        }
    }

    private static long milliseconds(long value) {
        return TimeUnit.MILLISECONDS.toNanos(value);
    }

    private ObjectiveRequest submit(int priority, long objective, long deadline) {
        ObjectiveRequest request = new ObjectiveRequest(priority, objective, deadline);
        mAdmission.submit(request);
        return request;
    }

    /** Fills the slots after as many requests of 100 ms each have set the mean service time. */
    private List<ObjectiveRequest> fillSlots() {
        List<ObjectiveRequest> running = new ArrayList<>();
        for (int i = 0; i < SLOTS; i++) {
            running.add(submit(0, 1_000, 1_000));
        }
        mTicker.advance(100, TimeUnit.MILLISECONDS);
        running.forEach(mAdmission::complete);
        running.clear();
        for (int i = 0; i < SLOTS; i++) {
            running.add(submit(0, 1_000, 1_000));
        }
        return running;
    }

    @Nested
    class Order {
        @Test
        void higherPriorityRunsFirstThenEarlierObjective() {
            List<ObjectiveRequest> running = fillSlots();
            ObjectiveRequest low = submit(2, 350, 2_000);
            ObjectiveRequest late = submit(1, 900, 2_000);
            ObjectiveRequest early = submit(1, 800, 2_000);
            mAdmission.complete(running.get(0));
            assertThat(early.mStarted).isTrue();
            mAdmission.complete(running.get(1));
            assertThat(late.mStarted).isTrue();
            assertThat(low.mStarted).isFalse();
        }

        /** Guards against late requests that delay others past their objective. */
        @Test
        void requestPastItsObjectiveIsQueuedBehindAllOthers() {
            List<ObjectiveRequest> running = fillSlots();
            ObjectiveRequest missed = submit(0, 210, 2_000);
            mTicker.advance(150, TimeUnit.MILLISECONDS);
            mAdmission.tick();
            ObjectiveRequest fresh = submit(3, 500, 2_000);
            mAdmission.complete(running.get(0));
            assertThat(fresh.mStarted).isTrue();
            assertThat(missed.mStarted).isFalse();
            mAdmission.complete(running.get(1));
            assertThat(missed.mStarted).isTrue();
        }
    }

    @Nested
    class Refusals {
        @Test
        void requestThatWouldMissItsDeadlineIsRefusedAtSubmission() {
            fillSlots();
            ObjectiveRequest refused = submit(0, 60, 90);
            assertThat(refused.mRefusal).isEqualTo(ErrorKind.OVERLOADED);
            assertThat(refused.mRetryAfter).isPositive();
        }

        /** Guards against a queue of late requests that grows with the load. */
        @Test
        void numberOfLateQueuedRequestsIsBounded() {
            fillSlots();
            int accepted = 0;
            for (int i = 0; i < 20; i++) {
                accepted += submit(0, 110, 5_000).mRefusal == null ? 1 : 0;
            }
            assertThat(accepted)
                    .isEqualTo((int) Math.ceil(SLOTS * DeadlineAdmission.MAX_LATE_QUEUED_RATIO));
        }

        @Test
        void queuedRequestIsRefusedWhenItCanNoLongerMeetItsDeadline() {
            fillSlots();
            ObjectiveRequest queued = submit(0, 250, 250);
            mTicker.advance(160, TimeUnit.MILLISECONDS);
            mAdmission.tick();
            assertThat(queued.mRefusal).isEqualTo(ErrorKind.DEADLINE_BEFORE_RUN);
        }

        /** Guards against a refusal that comes too late for a try at another target. */
        @Test
        void queuedRequestIsRefusedAtOnceWhenRequestsBeforeItUseUpItsTime() {
            fillSlots();
            ObjectiveRequest overtaken = submit(1, 450, 450);
            for (int i = 0; i < 8; i++) {
                submit(0, 700, 700);
            }
            mAdmission.tick();
            assertThat(overtaken.mRefusal).isEqualTo(ErrorKind.OVERLOADED);
            assertThat(overtaken.mRetryAfter).isPositive();
        }

        @Test
        void queuedRequestsThatCanBeServedInTurnAreKept() {
            fillSlots();
            List<ObjectiveRequest> queued = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                queued.add(submit(0, 700, 700));
            }
            mAdmission.tick();
            assertThat(queued).allMatch(request -> request.mRefusal == null);
        }

        @Test
        void refuseQueuedRefusesAllQueuedRequests() {
            List<ObjectiveRequest> running = fillSlots();
            ObjectiveRequest queued = submit(0, 500, 500);
            mAdmission.refuseQueued(ErrorKind.LEAVING);
            assertThat(queued.mRefusal).isEqualTo(ErrorKind.LEAVING);
            mAdmission.complete(running.get(0));
            assertThat(queued.mStarted).isFalse();
        }
    }

    /** Short calls made by running requests, at a target whose other requests take longer. */
    @Nested
    class ShortRequests {
        private ObjectiveRequest call(long objective, long deadline) {
            ObjectiveRequest request = new ObjectiveRequest(1, objective, deadline);
            request.mKind = "call";
            return request;
        }

        /**
         * Guards against refusing a short call because the mean of longer requests predicts that it
         * would be late. The request that makes the call would then fail, and the service time
         * already spent on it would be wasted.
         */
        @Test
        void waitOfAShortCallIsEstimatedFromTheServiceTimesOfItsKind() {
            ObjectiveRequest measured = call(1_000, 1_000);
            mAdmission.submit(measured);
            mTicker.advance(15, TimeUnit.MILLISECONDS);
            mAdmission.complete(measured);
            List<ObjectiveRequest> running = fillSlots();
            ObjectiveRequest call = call(60, 200);
            mAdmission.submit(call);
            assertThat(call.mRefusal).isNull();
            ObjectiveRequest order = submit(1, 400, 1_200);
            mTicker.advance(70, TimeUnit.MILLISECONDS);
            mAdmission.tick();
            mAdmission.complete(running.get(0));
            assertThat(call.mStarted)
                    .as("started before the newer request, although past its objective of 60 ms")
                    .isTrue();
            assertThat(order.mStarted).isFalse();
        }
    }

    @Nested
    class ReportedLoad {
        @Test
        void failureRateRisesWithFailuresAndDecays() {
            for (int i = 0; i < 10; i++) {
                mAdmission.recordOutcome(true);
            }
            assertThat(mAdmission.load().getFailurePercent()).isBetween(60, 70);
            mTicker.advance(5, TimeUnit.SECONDS);
            assertThat(mAdmission.load().getFailurePercent()).isLessThan(5);
        }
    }

    /**
     * Replays a target that turns four times slower for three seconds while its queue is filled by
     * requests of two priorities. Requests that were accepted on the faster times have to be told
     * soon that they can't be served, while their callers can still go elsewhere.
     */
    @Nested
    class TargetThatTurnsSlow {
        private static final int DEADLINE_MILLISECONDS = 1_000;
        private static final int SLOW_FROM = 2_000;
        private static final int SLOW_UNTIL = 5_000;

        private final long mSeed = Long.getLong("foxtailmoor.seed", 17);
        private final Random mRandom = new Random(mSeed);
        private final DeadlineAdmission mSlowAdmission = DeadlineAdmission.of(mTicker, 12);
        private final List<TimedRequest> mWaiting = new ArrayList<>();
        private final PriorityQueue<TimedRequest> mRunning =
                new PriorityQueue<>((a, b) -> Integer.compare(a.mEnd, b.mEnd));
        private int mServed;
        private int mLongestHeld;

        private final class TimedRequest {
            private final ObjectiveRequest mRequest;
            private final int mArrival;
            private int mEnd;

            TimedRequest(ObjectiveRequest request, int arrival) {
                mRequest = request;
                mArrival = arrival;
            }
        }

        @Test
        void noRequestIsRefusedAfterThreeQuartersOfItsTime() {
            for (int now = 0; now < 7_000; now++) {
                mTicker.advance(1, TimeUnit.MILLISECONDS);
                endRequests(now);
                if (mRandom.nextInt(1_000) < 85) {
                    int priority = mRandom.nextInt(10) < 3 ? 0 : 1;
                    ObjectiveRequest request =
                            new ObjectiveRequest(priority, 400, DEADLINE_MILLISECONDS);
                    mWaiting.add(new TimedRequest(request, now));
                    mSlowAdmission.submit(request);
                }
                if (now % 20 == 0) {
                    mSlowAdmission.tick();
                }
                updateWaiting(now);
            }
            assertThat(mLongestHeld)
                    .as("seed %d, %d served", mSeed, mServed)
                    .isLessThanOrEqualTo(DEADLINE_MILLISECONDS * 3 / 4);
            assertThat(mServed).as("seed %d", mSeed).isGreaterThan(300);
        }

        private void endRequests(int now) {
            while (!mRunning.isEmpty() && mRunning.peek().mEnd <= now) {
                TimedRequest ended = mRunning.poll();
                mServed += ended.mRequest.mDeadline - mTicker.nanoTime() >= 0 ? 1 : 0;
                mSlowAdmission.complete(ended.mRequest);
            }
        }

        private void updateWaiting(int now) {
            for (TimedRequest waiting : List.copyOf(mWaiting)) {
                if (waiting.mRequest.mStarted) {
                    boolean slow = now >= SLOW_FROM && now < SLOW_UNTIL;
                    int service = (63 + mRandom.nextInt(126)) * (slow ? 4 : 1);
                    waiting.mEnd = now + service;
                    mRunning.add(waiting);
                    mWaiting.remove(waiting);
                } else if (waiting.mRequest.mRefusal != null) {
                    mLongestHeld = Math.max(mLongestHeld, now - waiting.mArrival);
                    mWaiting.remove(waiting);
                }
            }
        }
    }

    /**
     * Simulates a load of twice the capacity. Most started requests must end on time, and the slots
     * must stay in use. A first-in-first-out queue would make all of them late.
     */
    @Nested
    class Overload {
        private static final int SERVICE_MILLISECONDS = 60;
        private static final int OBJECTIVE_MILLISECONDS = 300;
        private static final int DURATION_MILLISECONDS = 10_000;

        @Test
        void startedRequestsEndOnTime() {
            simulate(SERVICE_MILLISECONDS, 0.93, 0.05);
        }

        /**
         * Guards against a slow target that treats all its requests as late and then runs them in
         * order of arrival: half of the answers were late when two service times had to fit into
         * the objective.
         */
        @Test
        void startedRequestsOfASlowTargetEndOnTime() {
            // Service times reach 270 ms of the 300 ms, so a wait of 45 ms makes up to 8 % late.
            simulate(3 * SERVICE_MILLISECONDS, 0.85, 0.1);
        }

        private void simulate(
                int serviceMilliseconds, double minGoodputRatio, double maxLateRatio) {
            long seed = Long.getLong("foxtailmoor.seed", 11);
            Random random = new Random(seed);
            DeadlineAdmission admission = DeadlineAdmission.of(mTicker, 15);
            PriorityQueue<long[]> ends = new PriorityQueue<>((a, b) -> Long.compare(a[0], b[0]));
            List<ObjectiveRequest> all = new ArrayList<>();
            List<ObjectiveRequest> started = new ArrayList<>();
            int onTime = 0;
            int late = 0;
            for (int now = 0; now < DURATION_MILLISECONDS; now++) {
                mTicker.advance(1, TimeUnit.MILLISECONDS);
                while (!ends.isEmpty() && ends.peek()[0] <= now) {
                    ObjectiveRequest ended = all.get((int) ends.poll()[1]);
                    boolean endedOnTime = ended.mObjective - mTicker.nanoTime() >= 0;
                    onTime += endedOnTime ? 1 : 0;
                    late += endedOnTime ? 0 : 1;
                    admission.complete(ended);
                }
                if (random.nextInt(2) == 0) {
                    ObjectiveRequest request =
                            new ObjectiveRequest(0, OBJECTIVE_MILLISECONDS, 2_000);
                    all.add(request);
                    admission.submit(request);
                }
                if (now % 20 == 0) {
                    admission.tick();
                }
                for (ObjectiveRequest request :
                        all.subList(Math.max(0, all.size() - 200), all.size())) {
                    if (request.mStarted && !started.contains(request)) {
                        started.add(request);
                        int service = serviceMilliseconds / 2 + random.nextInt(serviceMilliseconds);
                        ends.add(new long[] {now + service, all.indexOf(request)});
                    }
                }
            }
            double capacity = 15.0 * DURATION_MILLISECONDS / serviceMilliseconds;
            assertThat(onTime)
                    .as("seed %d, %d late", seed, late)
                    .isGreaterThan((int) (minGoodputRatio * capacity));
            assertThat(late).as("seed %d", seed).isLessThan((int) (onTime * maxLateRatio));
        }
    }
}
