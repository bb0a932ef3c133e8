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
 * Admission with weighted fair queueing between classes and earliest deadline first within a class.
 * Manages the slots of one target. Not thread-safe; used only on the data loop.
 *
 * <p>The callbacks of a request may call the controller. Requests that such a call makes eligible
 * are started after the callback returns.
 */
public final class AdmissionController implements AdmissionPolicy {
    private static final int MIN_RETRY_AFTER_MILLISECONDS = 50;
    private static final int MAX_RETRY_AFTER_MILLISECONDS = 5_000;

    private final Ticker mTicker;
    private final Map<String, ClassQueue> mClassQueues = new HashMap<>();
    private final Map<AdmissionRequest, QueuedRequest> mRequests = new IdentityHashMap<>();
    private final IsolationQueue mIsolationQueue = new IsolationQueue();
    private int mSlots;
    private int mRunning;
    private int mRegularQueued;
    private long mSequence;
    private double mVirtualTime;
    private boolean mLeaving;
    private boolean mDispatching;

    private AdmissionController(Ticker ticker, int slots) {
        mTicker = Objects.requireNonNull(ticker, "ticker");
        resize(slots);
    }

    /**
     * Creates a controller with empty queues.
     *
     * @param ticker clock, not null
     * @param slots maximum number of concurrent requests at the target, at least 1
     * @throws IllegalArgumentException if {@code slots} is less than 1
     */
    public static AdmissionController of(Ticker ticker, int slots) {
        return new AdmissionController(ticker, slots);
    }

    @Override
    public void submit(AdmissionRequest request) {
        if (mLeaving) {
            request.refuse(ErrorKind.LEAVING, 0);
            return;
        }
        ClassQueue queue =
                mClassQueues.computeIfAbsent(request.admissionClass().id(), id -> new ClassQueue());
        queue.configure(request.admissionClass());
        long wait = expectedWaitNanoseconds(queue, request.deadlineNanoseconds());
        if (queue.wouldMissDeadline(request.deadlineNanoseconds(), mTicker.nanoTime() + wait)) {
            request.refuse(ErrorKind.DEADLINE_BEFORE_RUN, 0);
            return;
        }
        boolean suspect = request.requiresIsolation();
        if (isFull(queue, suspect)) {
            request.refuse(ErrorKind.OVERLOADED, retryAfterMilliseconds(wait));
            return;
        }
        QueuedRequest queued = new QueuedRequest(request, queue, mSequence++);
        mRequests.put(request, queued);
        enqueue(queued, suspect);
        dispatch();
    }

    @Override
    public void complete(AdmissionRequest request) {
        QueuedRequest queued = mRequests.get(request);
        if (queued == null || !queued.mRunning) {
            return;
        }
        long now = mTicker.nanoTime();
        long used = now - queued.mStartedNanoseconds;
        queued.mClassQueue.mServiceTime.add(used, now);
        end(queued, used);
        dispatch();
    }

    @Override
    public boolean cancel(AdmissionRequest request) {
        QueuedRequest queued = mRequests.get(request);
        if (queued == null || queued.mRunning) {
            return false;
        }
        mRequests.remove(request);
        queueOf(queued).remove(queued);
        mRegularQueued -= queued.mInIsolationQueue ? 0 : 1;
        dispatch();
        return true;
    }

    @Override
    public void tick() {
        long now = mTicker.nanoTime();
        for (ClassQueue queue : mClassQueues.values()) {
            refuseExpired(queue.mQueued, now);
        }
        refuseExpired(mIsolationQueue.mQueued, now);
        dispatch();
    }

    @Override
    public void leave() {
        mLeaving = true;
    }

    @Override
    public boolean isIdle() {
        return mRequests.isEmpty();
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
                .setQueued(mRequests.size() - mRunning)
                .setSlots(mSlots)
                .build();
    }

    private boolean isFull(ClassQueue queue, boolean suspect) {
        if (suspect) {
            return mIsolationQueue.mQueued.size() >= IsolationQueue.QUEUE_LIMIT;
        }
        boolean startsImmediately = mRunning < mSlots && mRegularQueued == 0 && !isBarrierActive();
        return !startsImmediately && queue.mQueued.size() >= queue.mQueueLimit;
    }

    private boolean isBarrierActive() {
        boolean regularQueued = mRegularQueued > 0;
        return mIsolationQueue.isRunning()
                || mIsolationQueue.blocksRegularRequests(regularQueued, mTicker.nanoTime());
    }

    private void enqueue(QueuedRequest queued, boolean suspect) {
        queued.mInIsolationQueue = suspect;
        if (!suspect) {
            mRegularQueued++;
            if (queued.mClassQueue.mQueued.isEmpty()) {
                // An idle class must not accumulate credit for slot time that it did not use.
                queued.mClassQueue.mVirtualTime =
                        Math.max(queued.mClassQueue.mVirtualTime, mVirtualTime);
            }
        }
        queueOf(queued).add(queued);
    }

    private PriorityQueue<QueuedRequest> queueOf(QueuedRequest queued) {
        return queued.mInIsolationQueue ? mIsolationQueue.mQueued : queued.mClassQueue.mQueued;
    }

    /** Starts queued requests while slots are free. Re-entrant calls return immediately. */
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
        if (mRunning >= mSlots || mIsolationQueue.isRunning()) {
            return false;
        }
        if (isBarrierActive()) {
            return dispatchIsolated();
        }
        ClassQueue queue = nextQueue();
        if (queue == null) {
            return false;
        }
        QueuedRequest queued = queue.mQueued.poll();
        mRegularQueued--;
        if (queue.wouldMissDeadline(queued.mDeadlineNanoseconds, mTicker.nanoTime())) {
            refuse(queued, ErrorKind.DEADLINE_BEFORE_RUN);
        } else if (queued.mRequest.requiresIsolation()) {
            enqueue(queued, true);
        } else {
            mVirtualTime = Math.max(mVirtualTime, queue.mVirtualTime);
            start(queued);
        }
        return true;
    }

    private boolean dispatchIsolated() {
        QueuedRequest queued = mIsolationQueue.mQueued.peek();
        boolean suspect = queued.mRequest.requiresIsolation();
        if (suspect && mRunning > 0) {
            return false;
        }
        mIsolationQueue.mQueued.poll();
        if (queued.mClassQueue.wouldMissDeadline(queued.mDeadlineNanoseconds, mTicker.nanoTime())) {
            refuse(queued, ErrorKind.DEADLINE_BEFORE_RUN);
        } else if (suspect) {
            mIsolationQueue.started(queued);
            start(queued);
        } else {
            enqueue(queued, false);
        }
        return true;
    }

    private ClassQueue nextQueue() {
        ClassQueue next = null;
        for (ClassQueue queue : mClassQueues.values()) {
            boolean hasRequests = !queue.mQueued.isEmpty();
            if (hasRequests && (next == null || queue.mVirtualTime < next.mVirtualTime)) {
                next = queue;
            }
        }
        return next;
    }

    private void start(QueuedRequest queued) {
        queued.mRunning = true;
        queued.mStartedNanoseconds = mTicker.nanoTime();
        queued.mClassQueue.charge(queued, queued.mStartedNanoseconds);
        mRunning++;
        if (!queued.mRequest.start() && mRequests.get(queued.mRequest) == queued) {
            end(queued, 0);
        }
    }

    private void end(QueuedRequest queued, long usedNanoseconds) {
        mRequests.remove(queued.mRequest);
        mRunning--;
        queued.mClassQueue.settle(queued, usedNanoseconds);
        mIsolationQueue.ended(queued, mTicker.nanoTime());
    }

    private void refuse(QueuedRequest queued, ErrorKind kind) {
        mRequests.remove(queued.mRequest);
        queued.mRequest.refuse(kind, 0);
    }

    private void refuseExpired(PriorityQueue<QueuedRequest> queue, long now) {
        while (!queue.isEmpty()) {
            QueuedRequest queued = queue.peek();
            if (!queued.mClassQueue.wouldMissDeadline(queued.mDeadlineNanoseconds, now)) {
                return;
            }
            queue.poll();
            mRegularQueued -= queued.mInIsolationQueue ? 0 : 1;
            refuse(queued, ErrorKind.DEADLINE_BEFORE_RUN);
        }
    }

    /** Estimates how long a new request of a class waits behind requests with earlier deadlines. */
    private long expectedWaitNanoseconds(ClassQueue queue, long deadlineNanoseconds) {
        if (mRunning < mSlots && mRegularQueued == 0) {
            return 0;
        }
        double activeWeight = queue.mQueued.isEmpty() ? queue.mWeight : 0;
        for (ClassQueue other : mClassQueues.values()) {
            activeWeight += other.mQueued.isEmpty() ? 0 : other.mWeight;
        }
        double slots = mSlots * queue.mWeight / activeWeight;
        double mean = queue.mServiceTime.nanoseconds(mTicker.nanoTime());
        return (long) ((queue.countAhead(deadlineNanoseconds) + 1) * mean / slots);
    }

    private static int retryAfterMilliseconds(long waitNanoseconds) {
        long milliseconds = TimeUnit.NANOSECONDS.toMillis(waitNanoseconds);
        return (int)
                Math.min(
                        MAX_RETRY_AFTER_MILLISECONDS,
                        Math.max(MIN_RETRY_AFTER_MILLISECONDS, milliseconds));
    }
}
