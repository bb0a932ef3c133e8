package org.foxtailmoor.core.admission;

import io.netty.util.concurrent.Ticker;
import java.util.List;
import java.util.Objects;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.protocol.generated.Load;

/**
 * Admission by priority and, within a priority, calls before other requests and then by earliest
 * latency objective. Manages the slots of one target. Requests that can no longer meet their
 * objective are queued behind all others and use only slots that would otherwise be idle. Not
 * thread-safe; used only on the data loop.
 *
 * <p>Under overload, a first-in-first-out queue would make every request late. This policy instead
 * refuses a new request at submission if it would be late behind the requests that are already
 * queued, so that the caller can place it elsewhere or retry later. A call that another request
 * waits for is refused only if it cannot end by its deadline: its refusal would cost the work that
 * the target of the waiting request has already done.
 *
 * <p>A less urgent kind of request keeps a minimum share of the slot time, but is not served more
 * often than a more urgent one, see {@link KindShares}.
 */
public final class DeadlineAdmission implements AdmissionPolicy {
    /** Maximum number of late queued requests, as a ratio of the slots. */
    public static final double MAX_LATE_QUEUED_RATIO = 0.25;

    /**
     * Number of mean service times that must remain until the objective after the expected wait.
     * Under overload the queue is always at its maximum length, so with a margin of 1 half of the
     * started requests would end late.
     */
    public static final double SERVICE_TIME_MARGIN = 2;

    /**
     * Wait that is always permitted, as a ratio of the time until the objective, even if less than
     * the margin remains after it.
     */
    public static final double MIN_WAIT_RATIO = 0.15;

    /**
     * Assumed service time before the first measurement, as a ratio of the time until the
     * objective.
     */
    public static final double DEFAULT_SERVICE_TIME_RATIO = 0.25;

    /**
     * A kind of request is short if its mean service time is below this ratio of the mean of the
     * kinds.
     */
    public static final double SHORT_REQUEST_RATIO = 0.6;

    private final Ticker mTicker;
    private final ConcurrencyLimit mConcurrency;
    private final StartPacer mPacer;
    private final CallFailureLimits mCallLimits;
    private final KindShares mShares = new KindShares();
    private final CallKinds mCallKinds = new CallKinds();
    private final StartQueue mQueue = new StartQueue(mShares);
    private final RetryAfterSpread mRetryAfter = new RetryAfterSpread();
    private final RunningRequests mRunning;
    private final TargetBodies mBodies;
    private final ServiceTimes mServiceTimes = new ServiceTimes();
    private int mSlots;
    private long mSequence;
    private final FailureRate mFailureRate;
    private boolean mLeaving;
    private boolean mDispatching;

    private DeadlineAdmission(Ticker ticker, int slots, TargetLimits limits) {
        mTicker = Objects.requireNonNull(ticker, "ticker");
        mConcurrency = limits.concurrency();
        mPacer = limits.pacer();
        mCallLimits = limits.callLimits();
        mBodies = limits.bodies();
        mRunning = new RunningRequests(mBodies);
        mFailureRate = new FailureRate(ticker);
        resize(slots);
    }

    /**
     * Creates a policy with an empty queue.
     *
     * @param ticker clock, not null
     * @param slots maximum number of concurrent requests at the target, at least 1
     * @throws IllegalArgumentException if {@code slots} is less than 1
     */
    public static DeadlineAdmission of(Ticker ticker, int slots) {
        return of(ticker, slots, TargetLimits.builder(ticker).build());
    }

    /**
     * Creates a policy with an empty queue.
     *
     * @param ticker clock, not null
     * @param slots slots of the target, at least 1
     * @param limits limits beside the slots, not null
     * @throws IllegalArgumentException if {@code slots} is less than 1
     */
    public static DeadlineAdmission of(Ticker ticker, int slots, TargetLimits limits) {
        return new DeadlineAdmission(ticker, slots, limits);
    }

    @Override
    public void submit(AdmissionRequest request) {
        if (mLeaving) {
            request.refuse(ErrorKind.LEAVING, 0);
            return;
        }
        long now = mTicker.nanoTime();
        String kind = request.admissionClass().id();
        mCallKinds.onArrival(kind, request.callerService());
        mShares.onArrival(request, now);
        PrioritizedRequest queued = new PrioritizedRequest(request, mSequence++, isCall(kind, now));
        int callLimit = mCallLimits.limit(kind);
        if (callLimit != Integer.MAX_VALUE
                && mRunning.countOfKind(kind) + mQueue.countOfKind(kind) >= callLimit) {
            mCallLimits.onRefused();
            // Not counted as a refusal for other requests, which must not make room for this one.
            long wait = CallFailureLimits.RECOVERY / mSlots;
            request.refuse(ErrorKind.OVERLOADED, retryAfterMilliseconds(request, now, wait));
            return;
        }
        if (mayStart() && mayPassQueue(request)) {
            start(queued);
            return;
        }
        long service = serviceNanoseconds(request);
        queued.mLate = wouldBeLate(queued, now, service);
        long wait = expectedWaitNanoseconds(queued, now);
        if (request.deadlineNanoseconds() - (now + wait + service) < 0 && !isOwed(queued, now)) {
            refuse(queued, ErrorKind.OVERLOADED, wait);
            return;
        }
        if (!queued.mCall) {
            boolean late =
                    wouldBeLate(queued, now + wait, service)
                            || wait > maxWaitNanoseconds(request, service);
            queued.mLate = late && (queued.mLate || !isOwed(queued, now));
            if (queued.mLate && isLateQueueFull() || mShares.isServedTooOften(request, now)) {
                refuse(queued, ErrorKind.OVERLOADED, wait);
                return;
            }
        }
        mQueue.add(queued);
        dispatch();
    }

    @Override
    public void complete(AdmissionRequest request) {
        complete(request, false);
    }

    /**
     * Releases the slot of a started request and starts queued requests.
     *
     * @param request request that was started; ignored otherwise
     * @param failed whether the target refused or failed it
     */
    public void complete(AdmissionRequest request, boolean failed) {
        RunningRequests.Started started = mRunning.find(request);
        if (started == null) {
            return;
        }
        CallFailureLimits.RunResult result = CallFailureLimits.RunResult.SUCCEEDED;
        if (failed) {
            result = CallFailureLimits.RunResult.FAILED;
        } else if (request.deadlineNanoseconds() - mTicker.nanoTime() <= 0) {
            result = CallFailureLimits.RunResult.LATE;
        }
        mCallLimits.onRunEnded(
                started.kind(),
                started.startedNanoseconds(),
                result,
                mRunning.countOfKind(started.kind()));
        mRunning.remove(request);
        long now = mTicker.nanoTime();
        long service = now - started.startedNanoseconds();
        mServiceTimes.add(started.kind(), service, now);
        mConcurrency.onCompleted(
                new CompletedRun(
                        started.kind(), started.running(), service, failed, mQueue.size()));
        dispatch();
    }

    /**
     * Frees the slot of a request that has not reached the target. Unlike {@link #complete}, this
     * does not count as a service time: a failed connect is fast, and the target would look fast.
     *
     * @param request request that was started; ignored otherwise
     */
    public void release(AdmissionRequest request) {
        if (mRunning.remove(request) != null) {
            dispatch();
        }
    }

    /**
     * Frees the slot of a request that the target rejected without running it. The time that the
     * rejection took does not count as a service time: the target would look fast.
     *
     * @param request request that was started; ignored otherwise
     */
    public void reject(AdmissionRequest request) {
        RunningRequests.Started started = mRunning.remove(request);
        if (started != null) {
            mConcurrency.onRejected(started.running());
            dispatch();
        }
    }

    @Override
    public boolean cancel(AdmissionRequest request) {
        PrioritizedRequest queued = mQueue.find(request);
        if (queued == null) {
            return false;
        }
        mQueue.remove(queued);
        return true;
    }

    /**
     * Reviews the place of each queued request. Since it was accepted, the target may have turned
     * slow, or requests that precede it may have arrived. A request that can no longer be served is
     * refused at once, so that it can still be placed elsewhere.
     */
    @Override
    public void tick() {
        long now = mTicker.nanoTime();
        WaitEstimate estimate = newEstimate(now);
        int ahead = 0;
        for (PrioritizedRequest queued : mQueue.copy()) {
            long service = serviceNanoseconds(queued.mRequest);
            long left = queued.mRequest.deadlineNanoseconds() - (now + service);
            long wait = waitNanoseconds(ahead, estimate);
            if (left < 0) {
                mQueue.remove(queued);
                refuse(queued, ErrorKind.DEADLINE_BEFORE_RUN, wait);
            } else if (left < wait) {
                mQueue.remove(queued);
                refuse(queued, ErrorKind.OVERLOADED, wait);
            } else if (queued.mLate || !wouldBeLate(queued, now, service)) {
                ahead++;
                estimate.add(service);
            } else {
                markLateOrRefuse(queued, wait);
            }
        }
        dispatch();
    }

    /**
     * Refuses all queued requests. Running requests are not affected.
     *
     * @param kind error kind that reports "not run", not null
     */
    public void refuseQueued(ErrorKind kind) {
        List<PrioritizedRequest> all = mQueue.copy();
        for (PrioritizedRequest queued : all) {
            mQueue.remove(queued);
            queued.mRequest.refuse(kind, 0);
        }
    }

    /** Records whether the target refused or failed a request; reported to peers as load. */
    public void recordOutcome(boolean failed) {
        mFailureRate.record(failed);
    }

    @Override
    public void leave() {
        mLeaving = true;
    }

    @Override
    public boolean isIdle() {
        return mRunning.size() == 0 && mQueue.isEmpty();
    }

    @Override
    public void resize(int slots) {
        if (slots < 1) {
            throw new IllegalArgumentException("slots must be at least 1, is " + slots);
        }
        mSlots = slots;
        mConcurrency.setSlots(slots);
        mCallLimits.setSlots(slots);
    }

    /** Sets the id of the target's service, by which calls of other services are recognized. */
    public void setServiceId(String serviceId) {
        mCallKinds.setServiceId(serviceId);
    }

    /** Records what the target says about its own load. */
    public void onTargetLoad(TargetLoad load) {
        mConcurrency.onTargetLoad(load);
    }

    @Override
    public long targetBodyBytes() {
        return mBodies.runningBytes();
    }

    @Override
    public int waitingForBodyBytes() {
        return mayStart() ? mQueue.size() : 0;
    }

    @Override
    public Load load() {
        long service = mServiceTimes.overallMean(mTicker.nanoTime());
        return LoadReport.of(
                mRunning.size(),
                mQueue.size(),
                service,
                mFailureRate.value(),
                mConcurrency,
                mPacer);
    }

    /** Returns the pacer of this policy. */
    public StartPacer pacer() {
        return mPacer;
    }

    /** Moves a request behind all that are not late, or refuses it if too many are late. */
    private void markLateOrRefuse(PrioritizedRequest queued, long waitNanoseconds) {
        mQueue.remove(queued);
        if (isLateQueueFull()) {
            refuse(queued, ErrorKind.OVERLOADED, waitNanoseconds);
            return;
        }
        queued.mLate = true;
        mQueue.add(queued);
    }

    private boolean isLateQueueFull() {
        return mQueue.late() >= mSlots * MAX_LATE_QUEUED_RATIO;
    }

    /** Refuses a request that an idle target would have run, unless its time was too short. */
    private void refuse(PrioritizedRequest queued, ErrorKind kind, long waitNanoseconds) {
        AdmissionRequest request = queued.mRequest;
        long now = mTicker.nanoTime();
        long service = serviceNanoseconds(request);
        long left = request.deadlineNanoseconds() - now;
        if (left >= service) {
            mShares.onRefused(queued.mKind, now);
        }
        request.refuse(kind, retryAfterMilliseconds(request, now, waitNanoseconds));
    }

    private int retryAfterMilliseconds(
            AdmissionRequest request, long nowNanoseconds, long waitNanoseconds) {
        long interval = serviceNanoseconds(request) / mConcurrency.limit();
        long left = request.deadlineNanoseconds() - nowNanoseconds;
        return mRetryAfter.milliseconds(nowNanoseconds, waitNanoseconds, interval, left);
    }

    /**
     * Returns whether a new request starts before all queued ones: none is queued, or those that
     * are wait for the end of long bodies and the new one does not.
     */
    private boolean mayPassQueue(AdmissionRequest request) {
        if (!mBodies.mayStart(request.bodyBytes())) {
            return false;
        }
        return mQueue.isEmpty()
                || !TargetBodies.isCounted(request.bodyBytes()) && nextStartable() == null;
    }

    /**
     * Returns the next request to start, or null if all queued ones wait for the end of long
     * bodies. While one does, others with long bodies wait, too; otherwise the longest body might
     * never start.
     */
    private PrioritizedRequest nextStartable() {
        long now = mTicker.nanoTime();
        PrioritizedRequest next = mQueue.next(now, queued -> true);
        if (next == null || mBodies.mayStart(next.mRequest.bodyBytes())) {
            return next;
        }
        return mQueue.next(now, queued -> !TargetBodies.isCounted(queued.mRequest.bodyBytes()));
    }

    /** Starts queued requests while slots are free. Re-entrant calls return immediately. */
    private void dispatch() {
        if (mDispatching) {
            return;
        }
        mDispatching = true;
        try {
            PrioritizedRequest next = mayStart() ? nextStartable() : null;
            while (next != null) {
                mQueue.remove(next);
                start(next);
                next = mayStart() ? nextStartable() : null;
            }
        } finally {
            mDispatching = false;
        }
    }

    private boolean mayStart() {
        return mRunning.size() < mConcurrency.limit() && mPacer.mayStart();
    }

    private void start(PrioritizedRequest queued) {
        long now = mTicker.nanoTime();
        mRunning.add(queued, now);
        int running = mRunning.size();
        if (!queued.mRequest.start()) {
            mRunning.remove(queued.mRequest);
            return;
        }
        mShares.onStarted(queued.mKind, serviceNanoseconds(queued.mRequest), now);
        mConcurrency.onStarted(running);
        mPacer.onStarted();
    }

    /** Estimates how long a request waits behind the requests that precede it. */
    private long expectedWaitNanoseconds(PrioritizedRequest queued, long nowNanoseconds) {
        WaitEstimate estimate = newEstimate(nowNanoseconds);
        int ahead = 0;
        for (PrioritizedRequest preceding : mQueue.ahead(queued)) {
            estimate.add(serviceNanoseconds(preceding.mRequest));
            ahead++;
        }
        return waitNanoseconds(ahead, estimate);
    }

    private long waitNanoseconds(int ahead, WaitEstimate estimate) {
        return Math.max(estimate.waitNanoseconds(), mPacer.delayNanoseconds(ahead));
    }

    private WaitEstimate newEstimate(long nowNanoseconds) {
        return new WaitEstimate(
                mConcurrency.limit(),
                mRunning.size(),
                mRunning.meanServiceNanoseconds(mServiceTimes, nowNanoseconds));
    }

    private boolean isCall(String kind, long nowNanoseconds) {
        return mCallKinds.isCall(
                kind, mServiceTimes.isShort(kind, SHORT_REQUEST_RATIO, nowNanoseconds));
    }

    /**
     * Returns whether a request is accepted whatever the wait, because its kind gets less than its
     * minimum share and will soon be started out of turn.
     */
    private boolean isOwed(PrioritizedRequest queued, long nowNanoseconds) {
        return mShares.isStarving(queued.mKind, nowNanoseconds)
                && mQueue.countOfKind(queued.mKind) <= mConcurrency.limit() * KindShares.MIN_SHARE;
    }

    /** Returns the mean service time of a request's kind, or a default before the first sample. */
    private long serviceNanoseconds(AdmissionRequest request) {
        long now = mTicker.nanoTime();
        long known = mServiceTimes.meanOfKind(request.admissionClass().id(), now);
        if (known > 0) {
            return known;
        }
        return Math.max(
                0, (long) ((request.objectiveNanoseconds() - now) * DEFAULT_SERVICE_TIME_RATIO));
    }

    /**
     * Returns the longest wait after which most requests of this kind still meet their objective.
     */
    private double maxWaitNanoseconds(AdmissionRequest request, long serviceNanoseconds) {
        double left = request.objectiveNanoseconds() - mTicker.nanoTime();
        return Math.max(left - serviceNanoseconds * SERVICE_TIME_MARGIN, left * MIN_WAIT_RATIO);
    }

    /** Returns whether a request started at the given time would end after it is due. */
    private static boolean wouldBeLate(
            PrioritizedRequest queued, long startNanoseconds, long serviceNanoseconds) {
        return queued.dueNanoseconds() - (startNanoseconds + serviceNanoseconds) < 0;
    }
}
