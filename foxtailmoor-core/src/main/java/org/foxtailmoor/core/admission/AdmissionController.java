package org.foxtailmoor.core.admission;

import io.netty.util.concurrent.Ticker;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.protocol.generated.Load;

/**
 * Owns the slots of one target. Classes share the slots by weight; within a class the earliest
 * deadline runs first. Belongs to the data loop.
 *
 * <p>Work may call the controller from its callbacks; such calls take effect after the callback.
 */
public final class AdmissionController implements AdmissionPolicy {
    private static final int SHORTEST_RETRY_AFTER_MILLISECONDS = 50;
    private static final int LONGEST_RETRY_AFTER_MILLISECONDS = 5_000;

    private final Ticker mTicker;
    private final Map<String, ClassQueue> mQueues = new HashMap<>();
    private final Map<Work, Entry> mEntries = new IdentityHashMap<>();
    private final SuspectLane mSuspects = new SuspectLane();
    private int mSlots;
    private int mRunning;
    private int mOrdinaryWaiting;
    private long mSequence;
    private double mVirtualTime;
    private boolean mLeaving;
    private boolean mDispatching;

    private AdmissionController(Ticker ticker, int slots) {
        mTicker = Objects.requireNonNull(ticker, "ticker");
        resize(slots);
    }

    /**
     * Creates a controller.
     *
     * @param ticker clock, not null
     * @param slots concurrent requests of the target, at least 1
     * @throws IllegalArgumentException if there are less than 1 slots
     */
    public static AdmissionController of(Ticker ticker, int slots) {
        return new AdmissionController(ticker, slots);
    }

    @Override
    public void submit(Work work) {
        if (mLeaving) {
            work.refuse(ErrorKind.LEAVING, 0);
            return;
        }
        ClassQueue queue =
                mQueues.computeIfAbsent(work.admissionClass().id(), id -> new ClassQueue());
        queue.configure(work.admissionClass());
        long wait = expectedWaitNanoseconds(queue, work.deadlineNanoseconds());
        if (queue.isTooLate(work.deadlineNanoseconds(), mTicker.nanoTime() + wait)) {
            work.refuse(ErrorKind.DEADLINE_BEFORE_RUN, 0);
            return;
        }
        boolean suspect = work.runsAlone();
        if (isFull(queue, suspect)) {
            work.refuse(ErrorKind.OVERLOADED, retryAfterMilliseconds(wait));
            return;
        }
        Entry entry = new Entry(work, queue, mSequence++);
        mEntries.put(work, entry);
        enqueue(entry, suspect);
        dispatch();
    }

    @Override
    public void complete(Work work) {
        Entry entry = mEntries.get(work);
        if (entry == null || !entry.mRunning) {
            return;
        }
        long now = mTicker.nanoTime();
        long used = now - entry.mStartedNanoseconds;
        entry.mQueue.mServiceTime.add(used, now);
        end(entry, used);
        dispatch();
    }

    @Override
    public boolean cancel(Work work) {
        Entry entry = mEntries.get(work);
        if (entry == null || entry.mRunning) {
            return false;
        }
        mEntries.remove(work);
        waitingOf(entry).remove(entry);
        mOrdinaryWaiting -= entry.mInSuspectLane ? 0 : 1;
        dispatch();
        return true;
    }

    @Override
    public void tick() {
        long now = mTicker.nanoTime();
        for (ClassQueue queue : mQueues.values()) {
            refuseLate(queue.mWaiting, now);
        }
        refuseLate(mSuspects.mWaiting, now);
        dispatch();
    }

    @Override
    public void leave() {
        mLeaving = true;
    }

    @Override
    public boolean isIdle() {
        return mEntries.isEmpty();
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
        return Load.newBuilder()
                .setRunning(mRunning)
                .setQueued(mEntries.size() - mRunning)
                .setSlots(mSlots)
                .build();
    }

    private boolean isFull(ClassQueue queue, boolean suspect) {
        if (suspect) {
            return mSuspects.mWaiting.size() >= SuspectLane.QUEUE_LIMIT;
        }
        boolean startsAtOnce = mRunning < mSlots && mOrdinaryWaiting == 0 && !isHeldBack();
        return !startsAtOnce && queue.mWaiting.size() >= queue.mQueueLimit;
    }

    private boolean isHeldBack() {
        boolean ordinaryWaits = mOrdinaryWaiting > 0;
        return mSuspects.isRunning() || mSuspects.holdsBack(ordinaryWaits, mTicker.nanoTime());
    }

    private void enqueue(Entry entry, boolean suspect) {
        entry.mInSuspectLane = suspect;
        if (!suspect) {
            mOrdinaryWaiting++;
            if (entry.mQueue.mWaiting.isEmpty()) {
                // A class that was idle must not claim the time that it left unused.
                entry.mQueue.mVirtualTime = Math.max(entry.mQueue.mVirtualTime, mVirtualTime);
            }
        }
        waitingOf(entry).add(entry);
    }

    private PriorityQueue<Entry> waitingOf(Entry entry) {
        return entry.mInSuspectLane ? mSuspects.mWaiting : entry.mQueue.mWaiting;
    }

    /** Starts waiting work while slots are free. A call from a callback returns at once. */
    private void dispatch() {
        if (mDispatching) {
            return;
        }
        mDispatching = true;
        try {
            boolean progress = true;
            while (progress) {
                progress = dispatchNext();
            }
        } finally {
            mDispatching = false;
        }
    }

    private boolean dispatchNext() {
        if (mRunning >= mSlots || mSuspects.isRunning()) {
            return false;
        }
        if (isHeldBack()) {
            return dispatchSuspect();
        }
        ClassQueue queue = nextQueue();
        if (queue == null) {
            return false;
        }
        Entry entry = queue.mWaiting.poll();
        mOrdinaryWaiting--;
        if (queue.isTooLate(entry.mDeadlineNanoseconds, mTicker.nanoTime())) {
            refuse(entry, ErrorKind.DEADLINE_BEFORE_RUN);
        } else if (entry.mWork.runsAlone()) {
            enqueue(entry, true);
        } else {
            mVirtualTime = Math.max(mVirtualTime, queue.mVirtualTime);
            start(entry);
        }
        return true;
    }

    private boolean dispatchSuspect() {
        Entry entry = mSuspects.mWaiting.peek();
        boolean suspect = entry.mWork.runsAlone();
        if (suspect && mRunning > 0) {
            return false;
        }
        mSuspects.mWaiting.poll();
        if (entry.mQueue.isTooLate(entry.mDeadlineNanoseconds, mTicker.nanoTime())) {
            refuse(entry, ErrorKind.DEADLINE_BEFORE_RUN);
        } else if (suspect) {
            mSuspects.started(entry);
            start(entry);
        } else {
            enqueue(entry, false);
        }
        return true;
    }

    private ClassQueue nextQueue() {
        ClassQueue next = null;
        for (ClassQueue queue : mQueues.values()) {
            boolean waits = !queue.mWaiting.isEmpty();
            if (waits && (next == null || queue.mVirtualTime < next.mVirtualTime)) {
                next = queue;
            }
        }
        return next;
    }

    private void start(Entry entry) {
        entry.mRunning = true;
        entry.mStartedNanoseconds = mTicker.nanoTime();
        entry.mQueue.charge(entry, entry.mStartedNanoseconds);
        mRunning++;
        if (!entry.mWork.start() && mEntries.get(entry.mWork) == entry) {
            end(entry, 0);
        }
    }

    private void end(Entry entry, long usedNanoseconds) {
        mEntries.remove(entry.mWork);
        mRunning--;
        entry.mQueue.settle(entry, usedNanoseconds);
        mSuspects.ended(entry, mTicker.nanoTime());
    }

    private void refuse(Entry entry, ErrorKind kind) {
        mEntries.remove(entry.mWork);
        entry.mWork.refuse(kind, 0);
    }

    private void refuseLate(PriorityQueue<Entry> waiting, long now) {
        while (!waiting.isEmpty()) {
            Entry entry = waiting.peek();
            if (!entry.mQueue.isTooLate(entry.mDeadlineNanoseconds, now)) {
                return;
            }
            waiting.poll();
            mOrdinaryWaiting -= entry.mInSuspectLane ? 0 : 1;
            refuse(entry, ErrorKind.DEADLINE_BEFORE_RUN);
        }
    }

    /** Returns the time that new work of a class is expected to wait behind earlier deadlines. */
    private long expectedWaitNanoseconds(ClassQueue queue, long deadlineNanoseconds) {
        if (mRunning < mSlots && mOrdinaryWaiting == 0) {
            return 0;
        }
        double activeWeight = queue.mWaiting.isEmpty() ? queue.mWeight : 0;
        for (ClassQueue other : mQueues.values()) {
            activeWeight += other.mWaiting.isEmpty() ? 0 : other.mWeight;
        }
        double slots = mSlots * queue.mWeight / activeWeight;
        double mean = queue.mServiceTime.nanoseconds(mTicker.nanoTime());
        return (long) ((queue.countAhead(deadlineNanoseconds) + 1) * mean / slots);
    }

    private static int retryAfterMilliseconds(long waitNanoseconds) {
        long milliseconds = TimeUnit.NANOSECONDS.toMillis(waitNanoseconds);
        return (int)
                Math.min(
                        LONGEST_RETRY_AFTER_MILLISECONDS,
                        Math.max(SHORTEST_RETRY_AFTER_MILLISECONDS, milliseconds));
    }
}
