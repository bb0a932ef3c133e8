package org.foxtailmoor.core.home;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import java.util.function.Supplier;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.core.distribution.ViewLease;
import org.foxtailmoor.core.routing.EpochClock;
import org.foxtailmoor.core.routing.IdempotencyKey;
import org.foxtailmoor.core.routing.KeyHome;
import org.foxtailmoor.protocol.generated.DocumentVersion;

/**
 * Decides whether this home may run an idempotency key that is not in its key store, based on its
 * history of views and its view lease. Not thread-safe; used only on the data loop.
 *
 * <p>A term is the period during which this node has been the home of a key. It starts at the
 * latest of:
 *
 * <ul>
 *   <li>the time at which the process became ready;
 *   <li>the last change of members that assigned the key to this node;
 *   <li>the first lease after that change, because until then a previous home may hold a lease for
 *       its older view;
 *   <li>the first lease of a view, if the lease of the preceding view had expired by then, because
 *       the key may have been reassigned and returned in versions that this node has missed.
 * </ul>
 *
 * <p>A key must have been created at least {@link #GUARD_INTERVAL_MILLISECONDS} after the start of
 * the term. This implies that this node was the home of the key in every view since the key was
 * created.
 */
public final class HomeTerms {
    /** Minimum time between the start of a term and the creation of a key that may run. */
    public static final long GUARD_INTERVAL_MILLISECONDS = 5_000;

    /** Maximum number of recorded member changes; older keys have an unknown outcome. */
    public static final int PERIOD_LIMIT = 256;

    private final EpochClock mClock;
    private final String mInstanceId;
    private final Supplier<ViewLease> mLease;

    /** Periods with constant membership, latest first. */
    private final Deque<MembershipPeriod> mPeriods = new ArrayDeque<>();

    private long mReadyMilliseconds;
    private DocumentVersion mVersion;
    private ViewLease mLastLease;

    private HomeTerms(EpochClock clock, String instanceId, Supplier<ViewLease> lease) {
        mClock = Objects.requireNonNull(clock, "clock");
        mInstanceId = Objects.requireNonNull(instanceId, "instanceId");
        mLease = Objects.requireNonNull(lease, "lease");
        mReadyMilliseconds = clock.milliseconds();
    }

    /**
     * Creates the terms of a home without a view. The creation counts as the time at which the
     * process became ready, until {@link #ready} is called.
     *
     * @param clock clock, not null
     * @param instanceId id of this instance, not null
     * @param lease supplies the current view lease or null; read at each decision; not null
     */
    public static HomeTerms of(EpochClock clock, String instanceId, Supplier<ViewLease> lease) {
        return new HomeTerms(clock, instanceId, lease);
    }

    /** Returns the id of this instance. */
    String instanceId() {
        return mInstanceId;
    }

    /** Records that the process has just become ready. */
    public void ready() {
        mReadyMilliseconds = mClock.milliseconds();
    }

    /**
     * Applies a new view.
     *
     * @param version version of the instance list, not null
     * @param members sorted ids of the service's live upstreams in its home region, not null
     */
    public void update(DocumentVersion version, List<String> members) {
        observeLease();
        mVersion = version;
        if (mPeriods.isEmpty() || !mPeriods.peekFirst().mMembers.equals(members)) {
            mPeriods.addFirst(new MembershipPeriod(List.copyOf(members), mClock.milliseconds()));
        }
        while (mPeriods.size() > PERIOD_LIMIT) {
            mPeriods.removeLast();
        }
        observeLease();
    }

    /**
     * Returns the reason not to run a key that is not in the key store, or null to run it.
     *
     * @param key key, not null
     * @return KEY_INVALID for a key from the future, HOME_UNAVAILABLE if this node is not the home
     *     or holds no lease, OUTCOME_UNKNOWN if a previous home or process may have run the key, or
     *     null
     */
    public ErrorKind refusalReason(IdempotencyKey key) {
        observeLease();
        long now = mClock.milliseconds();
        if (key.isFromFuture(now)) {
            return ErrorKind.KEY_INVALID;
        }
        if (mPeriods.isEmpty() || !isHome(key, mPeriods.peekFirst()) || !isLeaseHeld()) {
            return ErrorKind.HOME_UNAVAILABLE;
        }
        boolean tooOld =
                key.createdMilliseconds() < now - IdempotencyKeyStore.MAX_KEY_AGE_MILLISECONDS;
        long earliest = termStartMilliseconds(key) + GUARD_INTERVAL_MILLISECONDS;
        return tooOld || key.createdMilliseconds() < earliest ? ErrorKind.OUTCOME_UNKNOWN : null;
    }

    /** Observes the lease, so that gaps in it are detected. Called periodically. */
    public void tick() {
        observeLease();
    }

    private long termStartMilliseconds(IdempotencyKey key) {
        long start = mReadyMilliseconds;
        long memberSince = MembershipPeriod.NEVER;
        long leasedSince = MembershipPeriod.NEVER;
        for (MembershipPeriod period : mPeriods) {
            if (!isHome(key, period)) {
                break;
            }
            memberSince = period.mStartedMilliseconds;
            if (period.mFirstLeaseMilliseconds != MembershipPeriod.NEVER) {
                leasedSince = period.mFirstLeaseMilliseconds;
            }
            start = Math.max(start, period.mTermRestartMilliseconds);
        }
        return Math.max(start, Math.max(memberSince, leasedSince));
    }

    private boolean isHome(IdempotencyKey key, MembershipPeriod period) {
        return mInstanceId.equals(KeyHome.of(key, period.mMembers));
    }

    private boolean isLeaseHeld() {
        ViewLease lease = mLease.get();
        return lease != null && lease.isHeld(mVersion, mClock.ticker().nanoTime());
    }

    private void observeLease() {
        ViewLease lease = mLease.get();
        long now = mClock.ticker().nanoTime();
        if (lease == null || mVersion == null || !lease.isHeld(mVersion, now)) {
            return;
        }
        MembershipPeriod period = mPeriods.peekFirst();
        boolean sameView = mLastLease != null && mLastLease.instancesVersion().equals(mVersion);
        if (mLastLease != null && !sameView && mLastLease.validUntilNanoseconds() - now <= 0) {
            period.mTermRestartMilliseconds = mClock.milliseconds();
        }
        if (period.mFirstLeaseMilliseconds == MembershipPeriod.NEVER) {
            period.mFirstLeaseMilliseconds = mClock.milliseconds();
        }
        boolean extended =
                !sameView || lease.validUntilNanoseconds() - mLastLease.validUntilNanoseconds() > 0;
        mLastLease = extended ? lease : mLastLease;
    }
}
