package org.foxtailmoor.core.admission;

import io.netty.util.concurrent.Ticker;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.protocol.generated.Load;

/**
 * Owns the slots of one target. Waiting work runs by priority, and within a priority the one whose
 * objective passes first. Work that has missed its objective waits behind all other work and takes
 * slots that would be idle. Belongs to the data loop.
 *
 * <p>Load pattern: more work arrives than the slots can run. First in, first out would then run
 * everything late; here new work is refused at once when it would be late behind what waits
 * already, and the caller may place it elsewhere or come back.
 */
public final class DeadlineAdmission implements AdmissionPolicy {
    /** Work that has missed its objective and waits is at most this part of the slots. */
    public static final double LATE_WAITING_SHARE = 0.25;

    /**
     * Service times that should be left after the wait. Under overload the queue is always as long
     * as it may be, and with a single mean left, half of what runs would end late.
     */
    public static final double WAITING_MARGIN = 2;

    /**
     * Part of the time to the objective that work may wait even if less than the margin is left.
     */
    public static final double LEAST_WAIT_SHARE = 0.15;

    /** Part of the time to the objective that work is assumed to take before any was measured. */
    public static final double UNKNOWN_SERVICE_SHARE = 0.25;

    /** Work whose mean time is below this part of the mean of all work is short. */
    public static final double SHORT_WORK_SHARE = 0.6;

    private static final int SHORTEST_RETRY_AFTER_MILLISECONDS = 50;
    private static final int LONGEST_RETRY_AFTER_MILLISECONDS = 5_000;
    private static final double FAILURE_SAMPLE_SHARE = 0.1;
    private static final double PERCENT = 100;

    /** Without new outcomes the failure share halves in this time, so that a target is retried. */
    private static final double FAILURE_HALF_LIFE_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);

    private static final Comparator<Waiting> ORDER =
            Comparator.<Waiting>comparingInt(waiting -> waiting.mLate ? 1 : 0)
                    .thenComparingInt(waiting -> waiting.mWork.priority())
                    .thenComparing(DeadlineAdmission::compareObjectives)
                    .thenComparingLong(waiting -> waiting.mSequence);

    private static final class Waiting {
        private final Work mWork;
        private final long mSequence;
        private boolean mLate;

        Waiting(Work work, long sequence) {
            mWork = work;
            mSequence = sequence;
        }
    }

    private final Ticker mTicker;
    private final TreeSet<Waiting> mQueue = new TreeSet<>(ORDER);
    private final Map<Work, Waiting> mWaiting = new IdentityHashMap<>();
    private final Map<Work, Long> mRunning = new IdentityHashMap<>();
    private final ServiceTimes mServiceTimes = new ServiceTimes();
    private int mSlots;
    private int mLate;
    private long mSequence;
    private double mFailureShare;
    private long mFailureNanoseconds;
    private boolean mLeaving;
    private boolean mDispatching;

    private DeadlineAdmission(Ticker ticker, int slots) {
        mTicker = Objects.requireNonNull(ticker, "ticker");
        mFailureNanoseconds = ticker.nanoTime();
        resize(slots);
    }

    /**
     * Creates a controller.
     *
     * @param ticker clock, not null
     * @param slots concurrent requests of the target, at least 1
     * @throws IllegalArgumentException if there are less than 1 slots
     */
    public static DeadlineAdmission of(Ticker ticker, int slots) {
        return new DeadlineAdmission(ticker, slots);
    }

    @Override
    public void submit(Work work) {
        if (mLeaving) {
            work.refuse(ErrorKind.LEAVING, 0);
            return;
        }
        long now = mTicker.nanoTime();
        Waiting waiting = new Waiting(work, mSequence++);
        if (mRunning.size() < mSlots && mQueue.isEmpty()) {
            start(waiting);
            return;
        }
        long service = serviceNanoseconds(work);
        waiting.mLate = isLateAt(work, now, service);
        long mean = mServiceTimes.ofAll(now);
        long wait = expectedWaitNanoseconds(waiting, mean == 0 ? service : mean);
        if (work.deadlineNanoseconds() - (now + wait + service) < 0) {
            work.refuse(ErrorKind.OVERLOADED, retryAfterMilliseconds(wait));
            return;
        }
        boolean late = isLateAt(work, now + wait, service) || wait > longestWait(work, service);
        if (late && mLate >= mSlots * LATE_WAITING_SHARE) {
            work.refuse(ErrorKind.OVERLOADED, retryAfterMilliseconds(wait));
            return;
        }
        waiting.mLate = late;
        mLate += late ? 1 : 0;
        mWaiting.put(work, waiting);
        mQueue.add(waiting);
        dispatch();
    }

    @Override
    public void complete(Work work) {
        Long started = mRunning.remove(work);
        if (started == null) {
            return;
        }
        long now = mTicker.nanoTime();
        mServiceTimes.add(work.admissionClass().id(), now - started, now);
        dispatch();
    }

    @Override
    public boolean cancel(Work work) {
        Waiting waiting = mWaiting.get(work);
        if (waiting == null) {
            return false;
        }
        remove(waiting);
        return true;
    }

    @Override
    public void tick() {
        long now = mTicker.nanoTime();
        for (Waiting waiting : new ArrayList<>(mQueue)) {
            long service = serviceNanoseconds(waiting.mWork);
            if (waiting.mWork.deadlineNanoseconds() - (now + service) < 0) {
                remove(waiting);
                waiting.mWork.refuse(ErrorKind.DEADLINE_BEFORE_RUN, 0);
            } else if (!waiting.mLate && isLateAt(waiting.mWork, now, service)) {
                demote(waiting);
            }
        }
        dispatch();
    }

    /** Refuses everything that waits; running work is not affected. */
    public void refuseWaiting(ErrorKind kind) {
        List<Waiting> all = new ArrayList<>(mQueue);
        for (Waiting waiting : all) {
            remove(waiting);
            waiting.mWork.refuse(kind, 0);
        }
    }

    /** Records whether the target refused or failed a request, for the load that peers see. */
    public void recordOutcome(boolean fault) {
        double share = failureShare();
        mFailureShare = share + ((fault ? 1 : 0) - share) * FAILURE_SAMPLE_SHARE;
        mFailureNanoseconds = mTicker.nanoTime();
    }

    @Override
    public void leave() {
        mLeaving = true;
    }

    @Override
    public boolean isIdle() {
        return mRunning.isEmpty() && mQueue.isEmpty();
    }

    @Override
    public void resize(int slots) {
        if (slots < 1) {
            throw new IllegalArgumentException("slots must be at least 1, is " + slots);
        }
        mSlots = slots;
    }

    @Override
    public Load load() {
        long service = mServiceTimes.ofAll(mTicker.nanoTime());
        return Load.newBuilder()
                .setRunning(mRunning.size())
                .setQueued(mQueue.size())
                .setSlots(mSlots)
                .setServiceTimeMicroseconds((int) TimeUnit.NANOSECONDS.toMicros(service))
                .setFailurePercent((int) Math.round(failureShare() * PERCENT))
                .build();
    }

    private double failureShare() {
        double age = mTicker.nanoTime() - mFailureNanoseconds;
        return mFailureShare * Math.pow(0.5, age / FAILURE_HALF_LIFE_NANOSECONDS);
    }

    private void demote(Waiting waiting) {
        mQueue.remove(waiting);
        if (mLate >= mSlots * LATE_WAITING_SHARE) {
            mWaiting.remove(waiting.mWork);
            waiting.mWork.refuse(ErrorKind.OVERLOADED, 0);
            return;
        }
        waiting.mLate = true;
        mLate++;
        mQueue.add(waiting);
    }

    private void remove(Waiting waiting) {
        mQueue.remove(waiting);
        mWaiting.remove(waiting.mWork);
        mLate -= waiting.mLate ? 1 : 0;
    }

    /** Starts waiting work while slots are free. A call from a callback returns at once. */
    private void dispatch() {
        if (mDispatching) {
            return;
        }
        mDispatching = true;
        try {
            while (mRunning.size() < mSlots && !mQueue.isEmpty()) {
                Waiting next = mQueue.first();
                remove(next);
                start(next);
            }
        } finally {
            mDispatching = false;
        }
    }

    private void start(Waiting waiting) {
        mRunning.put(waiting.mWork, mTicker.nanoTime());
        if (!waiting.mWork.start()) {
            mRunning.remove(waiting.mWork);
        }
    }

    /** Returns the time that work waits behind what goes before it. */
    private long expectedWaitNanoseconds(Waiting waiting, long serviceNanoseconds) {
        int ahead = mQueue.headSet(waiting).size();
        long before = ahead + 1L - Math.max(0, mSlots - mRunning.size());
        return before <= 0 ? 0 : before * serviceNanoseconds / mSlots;
    }

    /** Returns the mean time of work like this, or a guess before any work has ended. */
    private long serviceNanoseconds(Work work) {
        long now = mTicker.nanoTime();
        long known = mServiceTimes.ofKind(work.admissionClass().id(), now);
        if (known > 0) {
            return known;
        }
        return Math.max(0, (long) ((work.objectiveNanoseconds() - now) * UNKNOWN_SERVICE_SHARE));
    }

    /** Returns the longest wait after which most work of its kind still ends on time. */
    private double longestWait(Work work, long serviceNanoseconds) {
        double left = work.objectiveNanoseconds() - mTicker.nanoTime();
        return Math.max(left - serviceNanoseconds * WAITING_MARGIN, left * LEAST_WAIT_SHARE);
    }

    /**
     * Returns whether work that starts at a time misses its objective. Short work counts as late
     * only by its deadline: it takes little of the slots, and it is mostly a call of other work,
     * whose time at its own target would be wasted.
     */
    private boolean isLateAt(Work work, long startNanoseconds, long serviceNanoseconds) {
        long now = mTicker.nanoTime();
        long own = mServiceTimes.ofKind(work.admissionClass().id(), now);
        boolean isShort = own < mServiceTimes.ofAll(now) * SHORT_WORK_SHARE;
        long limit = isShort ? work.deadlineNanoseconds() : work.objectiveNanoseconds();
        return limit - (startNanoseconds + serviceNanoseconds) < 0;
    }

    /** Compares by difference, because ticker times may overflow. */
    private static int compareObjectives(Waiting first, Waiting second) {
        return Long.signum(
                first.mWork.objectiveNanoseconds() - second.mWork.objectiveNanoseconds());
    }

    private static int retryAfterMilliseconds(long waitNanoseconds) {
        long milliseconds = TimeUnit.NANOSECONDS.toMillis(waitNanoseconds);
        return (int)
                Math.min(
                        LONGEST_RETRY_AFTER_MILLISECONDS,
                        Math.max(SHORTEST_RETRY_AFTER_MILLISECONDS, milliseconds));
    }
}
