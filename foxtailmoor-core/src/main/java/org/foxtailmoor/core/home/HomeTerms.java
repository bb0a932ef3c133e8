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
 * Decides whether this home may run a key that it does not know, from its history of views and its
 * view lease. Belongs to the data loop.
 *
 * <p>The term of this home for a key starts at the latest of:
 *
 * <ul>
 *   <li>the time at which the process became ready;
 *   <li>the last change of members that moved the key here;
 *   <li>the first lease after that change, because until then an earlier home may hold a lease for
 *       its older view;
 *   <li>the first lease of a view, if the lease of the view before it had ended by then, because
 *       the key may have moved away and back in versions that this node has missed.
 * </ul>
 *
 * <p>A key must have been created at least {@link #GUARD_MILLISECONDS} after the start of the term.
 * This includes the condition that the home was the key's home in every view since the creation of
 * the key.
 */
public final class HomeTerms {
    /** Least time between the start of a term and the creation of a key that the home runs. */
    public static final long GUARD_MILLISECONDS = 5_000;

    /** Changes of members that are remembered; keys from before them have an unknown outcome. */
    public static final int VIEW_LIMIT = 256;

    private final EpochClock mClock;
    private final String mInstanceId;
    private final Supplier<ViewLease> mLease;

    /** Views, the latest first. */
    private final Deque<MemberView> mViews = new ArrayDeque<>();

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
     * Creates the terms of one home that has no view yet. The process counts as ready from now,
     * until {@link #ready} is called.
     *
     * @param clock clock, not null
     * @param instanceId id of this instance, not null
     * @param lease gives the view lease now, or null without one; read at each decision; not null
     */
    public static HomeTerms of(EpochClock clock, String instanceId, Supplier<ViewLease> lease) {
        return new HomeTerms(clock, instanceId, lease);
    }

    /** Records that the process has become ready now. */
    public void ready() {
        mReadyMilliseconds = mClock.milliseconds();
    }

    /**
     * Takes a view.
     *
     * @param version version of the instance list, not null
     * @param members sorted ids of the service's live upstreams in its home region, not null
     */
    public void update(DocumentVersion version, List<String> members) {
        observeLease();
        mVersion = version;
        if (mViews.isEmpty() || !mViews.peekFirst().mMembers.equals(members)) {
            mViews.addFirst(new MemberView(List.copyOf(members), mClock.milliseconds()));
        }
        while (mViews.size() > VIEW_LIMIT) {
            mViews.removeLast();
        }
        observeLease();
    }

    /**
     * Returns why the home may not run an unknown key now, or null if it may.
     *
     * @param key key, not null
     * @return null, KEY_INVALID for a key from the future, HOME_UNAVAILABLE without home or lease,
     *     or OUTCOME_UNKNOWN if an earlier home or process may have run the key
     */
    public ErrorKind obstacle(IdempotencyKey key) {
        observeLease();
        long now = mClock.milliseconds();
        if (key.isFromFuture(now)) {
            return ErrorKind.KEY_INVALID;
        }
        if (mViews.isEmpty() || !isHome(key, mViews.peekFirst()) || !isLeaseHeld()) {
            return ErrorKind.HOME_UNAVAILABLE;
        }
        boolean tooOld = key.createdMilliseconds() < now - KeyLedger.KEY_AGE_LIMIT_MILLISECONDS;
        long earliest = termStartMilliseconds(key) + GUARD_MILLISECONDS;
        return tooOld || key.createdMilliseconds() < earliest ? ErrorKind.OUTCOME_UNKNOWN : null;
    }

    /** Runs the system over the views: observes the lease, so that gaps in it are noticed. */
    public void tick() {
        observeLease();
    }

    private long termStartMilliseconds(IdempotencyKey key) {
        long start = mReadyMilliseconds;
        long moved = MemberView.NEVER;
        long leased = MemberView.NEVER;
        for (MemberView view : mViews) {
            if (!isHome(key, view)) {
                break;
            }
            moved = view.mStartedMilliseconds;
            if (view.mFirstLeaseMilliseconds != MemberView.NEVER) {
                leased = view.mFirstLeaseMilliseconds;
            }
            start = Math.max(start, view.mRestartMilliseconds);
        }
        return Math.max(start, Math.max(moved, leased));
    }

    private boolean isHome(IdempotencyKey key, MemberView view) {
        return mInstanceId.equals(KeyHome.of(key, view.mMembers));
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
        MemberView view = mViews.peekFirst();
        boolean sameView = mLastLease != null && mLastLease.instancesVersion().equals(mVersion);
        if (mLastLease != null && !sameView && mLastLease.validUntilNanoseconds() - now <= 0) {
            view.mRestartMilliseconds = mClock.milliseconds();
        }
        if (view.mFirstLeaseMilliseconds == MemberView.NEVER) {
            view.mFirstLeaseMilliseconds = mClock.milliseconds();
        }
        boolean extended =
                !sameView || lease.validUntilNanoseconds() - mLastLease.validUntilNanoseconds() > 0;
        mLastLease = extended ? lease : mLastLease;
    }
}
