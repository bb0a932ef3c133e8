package org.foxtailmoor.core.routing;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Objects;

/**
 * State of one request at its entry node. Confined to the data loop.
 *
 * <p>A request keeps the snapshot that routed it. Whoever owns the request must release the
 * snapshot when the request ends.
 */
public final class EntryRequest {
    private final RoutingSnapshot mSnapshot;
    private final Route mRoute;
    private final IdempotencyKey mKey;
    private final String mServiceId;
    private final long mDeadlineNanoseconds;
    private final long mObjectiveNanoseconds;
    private final List<String> mTried = new ArrayList<>(2);
    private CallerAttempt mCallerAttempt;
    private long mBodyBytes;
    private int mAttempts;
    private int mTargetAttempts;
    private int mRetryAfterMilliseconds;
    private boolean mMayHaveRun;

    EntryRequest(
            RoutingSnapshot snapshot, Route route, IdempotencyKey key, long deadlineNanoseconds) {
        this(snapshot, route, key, route.serviceId(), deadlineNanoseconds, deadlineNanoseconds);
    }

    EntryRequest(
            RoutingSnapshot snapshot,
            Route route,
            IdempotencyKey key,
            String serviceId,
            long deadlineNanoseconds,
            long objectiveNanoseconds) {
        mSnapshot = Objects.requireNonNull(snapshot, "snapshot");
        mRoute = Objects.requireNonNull(route, "route");
        mKey = key;
        mServiceId = Objects.requireNonNull(serviceId, "serviceId");
        mDeadlineNanoseconds = deadlineNanoseconds;
        mObjectiveNanoseconds = objectiveNanoseconds;
    }

    /** Returns the snapshot that routed the request. */
    public RoutingSnapshot snapshot() {
        return mSnapshot;
    }

    /** Returns the route of the request. */
    public Route route() {
        return mRoute;
    }

    /** Returns the id of the service selected for the request among those of its route. */
    public String serviceId() {
        return mServiceId;
    }

    /** Returns the ticker time until which a response is on time; at most the deadline. */
    public long objectiveNanoseconds() {
        return mObjectiveNanoseconds;
    }

    /** Returns the idempotency key, or null if the request has none. */
    public IdempotencyKey key() {
        return mKey;
    }

    /** Returns the ticker time of the deadline. */
    public long deadlineNanoseconds() {
        return mDeadlineNanoseconds;
    }

    /** Returns the number of attempts made so far. */
    public int attempts() {
        return mAttempts;
    }

    /** Returns whether an attempt may have run, so that a refusal must not state "not run". */
    public boolean mayHaveRun() {
        return mMayHaveRun;
    }

    /** Returns the ids of the upstreams tried so far, unmodifiable. */
    public List<String> tried() {
        return Collections.unmodifiableList(mTried);
    }

    /** Returns the attempt of the caller, or null if caller retries are not tracked. */
    public CallerAttempt callerAttempt() {
        return mCallerAttempt;
    }

    void setCallerAttempt(CallerAttempt attempt) {
        mCallerAttempt = attempt;
    }

    /** Returns the delay that the caller of a rejected request is told, 0 if none. */
    public int retryAfterMilliseconds() {
        return mRetryAfterMilliseconds;
    }

    /** Sets the delay that the caller of a rejected request is told, 0 if none. */
    public void setRetryAfterMilliseconds(int retryAfterMilliseconds) {
        mRetryAfterMilliseconds = retryAfterMilliseconds;
    }

    /** Returns the size of the body, 0 until it is known. */
    public long bodyBytes() {
        return mBodyBytes;
    }

    /** Sets the size of the body once it has been received completely. */
    public void setBodyBytes(long bodyBytes) {
        mBodyBytes = bodyBytes;
    }

    /** Returns the number of attempts that reached a target, whether or not it ran them. */
    public int targetAttempts() {
        return mTargetAttempts;
    }

    void countTargetAttempt() {
        mTargetAttempts++;
    }

    void countAttempt(String upstreamId) {
        mAttempts++;
        if (mKey == null) {
            mTried.add(upstreamId);
        }
    }

    void markMayHaveRun() {
        mMayHaveRun = true;
    }
}
