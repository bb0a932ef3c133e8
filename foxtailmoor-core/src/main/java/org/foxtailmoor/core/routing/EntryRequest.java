package org.foxtailmoor.core.routing;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Objects;

/**
 * State of one request at its entry. Belongs to the data loop.
 *
 * <p>The request keeps the snapshot that routed it; the owner of the request releases the snapshot
 * when the request ends.
 */
public final class EntryRequest {
    private final RoutingSnapshot mSnapshot;
    private final Route mRoute;
    private final IdempotencyKey mKey;
    private final long mDeadlineNanoseconds;
    private final List<String> mTried = new ArrayList<>(2);
    private int mAttempts;
    private boolean mMayHaveRun;

    EntryRequest(
            RoutingSnapshot snapshot, Route route, IdempotencyKey key, long deadlineNanoseconds) {
        mSnapshot = Objects.requireNonNull(snapshot, "snapshot");
        mRoute = Objects.requireNonNull(route, "route");
        mKey = key;
        mDeadlineNanoseconds = deadlineNanoseconds;
    }

    /** Returns the snapshot that routed the request. */
    public RoutingSnapshot snapshot() {
        return mSnapshot;
    }

    /** Returns the route of the request. */
    public Route route() {
        return mRoute;
    }

    /** Returns the idempotency key, or null if the request has none. */
    public IdempotencyKey key() {
        return mKey;
    }

    /** Returns the ticker time at which the request's deadline passes. */
    public long deadlineNanoseconds() {
        return mDeadlineNanoseconds;
    }

    /** Returns the number of attempts made so far. */
    public int attempts() {
        return mAttempts;
    }

    /** Returns whether an attempt so far may have run; a later refusal cannot say "not run". */
    public boolean mayHaveRun() {
        return mMayHaveRun;
    }

    /** Returns the ids of the upstreams tried so far, unmodifiable. */
    public List<String> tried() {
        return Collections.unmodifiableList(mTried);
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
