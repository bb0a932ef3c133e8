package org.foxtailmoor.core.distribution;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.foxtailmoor.protocol.DocumentVersions;
import org.foxtailmoor.protocol.generated.DocumentVersion;
import org.foxtailmoor.protocol.generated.Topic;

/**
 * Keeps the view lease of the node's own service: a quorum of the lease group confirmed within the
 * last 3 s that it has heard of no newer instance list.
 *
 * <p>A confirmation counts from the moment of the question. A member that has heard of a newer list
 * denies, and the question itself tells the member which list the asker has.
 */
final class LeaseSystem {
    /** Time for which a confirmation counts. */
    static final long LEASE_NANOSECONDS = Milliseconds.toNanoseconds(3_000);

    // In this time the node asks as many members as it needs, so that a lease is renewed about
    // twice before it ends.
    private static final long ROUND_NANOSECONDS = Milliseconds.toNanoseconds(1_500);

    private final EngineContext mContext;
    private final DistributionState mState;
    private final AdvertWriter mAdverts;
    private final Map<String, Long> mConfirmations = new HashMap<>();
    private LeaseGroup mGroup = LeaseGroup.EMPTY;
    private List<String> mOthers = List.of();
    private boolean mMember;
    private int mNeeded;
    private DocumentVersion mVersion = DocumentVersions.NONE;
    private int mNextIndex;
    private long mNextAskNanoseconds;
    private boolean mConfirmed;
    private long mConfirmedSinceNanoseconds;
    private long mHeldUntilNanoseconds;
    private ViewLease mLease = ViewLease.NONE;

    LeaseSystem(EngineContext context, DistributionState state, AdvertWriter adverts) {
        mContext = context;
        mState = state;
        mAdverts = adverts;
        mNextAskNanoseconds = context.now();
    }

    ViewLease lease() {
        return mLease;
    }

    /** Derives the group again after a document came into force. */
    void documentsChanged() {
        String self = mContext.self().getId();
        String homeRegion = mState.facts().homeRegion();
        LeaseGroup group =
                LeaseGroup.of(mState.fleet(), mContext.self().getServiceId(), homeRegion);
        if (!group.members().equals(mGroup.members())) {
            mConfirmed = false;
        }
        boolean sameGroup = group.equals(mGroup);
        mGroup = group;
        mMember = group.members().contains(self);
        mOthers = new ArrayList<>(group.voters());
        mNeeded = mOthers.remove(self) ? group.quorum() - 1 : group.quorum();
        boolean sameVersion = mVersion.equals(mState.instances().version());
        mVersion = mState.instances().version();
        if (sameGroup && sameVersion) {
            return;
        }
        mConfirmations.clear();
        mLease = ViewLease.NONE;
        if (mMember && mState.isReady()) {
            mOthers.forEach(this::ask);
        }
    }

    /** Returns whether this node may confirm the instance list of a member that asks. */
    boolean confirms(DocumentVersion askerVersion) {
        return mState.isReady()
                && DocumentVersions.compare(mState.instances().newestHeard(), askerVersion) <= 0;
    }

    /** Takes the reply of a peer to an advert of this node. */
    void replied(String instanceId, AdvertWriter.Ask ask, boolean confirmed) {
        if (!mOthers.contains(instanceId) || !ask.instancesVersion().equals(mVersion)) {
            return;
        }
        if (!confirmed) {
            mConfirmations.remove(instanceId);
        } else {
            mConfirmations.merge(instanceId, ask.sentNanoseconds(), LeaseSystem::later);
        }
        renew();
    }

    void onTick() {
        if (!mMember || !mState.isReady()) {
            return;
        }
        long now = mContext.now();
        while (!mOthers.isEmpty() && now - mNextAskNanoseconds >= 0) {
            // After a pause the missed questions are not made up for.
            long interval = ROUND_NANOSECONDS / Math.max(1, mNeeded);
            mNextAskNanoseconds = later(mNextAskNanoseconds + interval, now - interval);
            ask(mOthers.get(mNextIndex % mOthers.size()));
            mNextIndex = (mNextIndex + 1) % mOthers.size();
        }
        renew();
    }

    private void ask(String peerId) {
        mAdverts.ask(peerId, List.of(Topic.TOPIC_INSTANCES));
    }

    private void renew() {
        long now = mContext.now();
        List<Long> sent = new ArrayList<>(mConfirmations.values());
        sent.sort((first, second) -> Long.compare(second - now, first - now));
        mLease = ViewLease.NONE;
        if (!mMember || !confirms(mVersion) || sent.size() < mNeeded) {
            return;
        }
        long start = mNeeded == 0 ? now : sent.get(mNeeded - 1);
        long validUntil = start + LEASE_NANOSECONDS;
        if (validUntil - now <= 0) {
            return;
        }
        // While the lease lapsed, another node may have been home by a list that this one missed.
        boolean lapsed = start - mHeldUntilNanoseconds > 0;
        if (!mConfirmed || lapsed) {
            mConfirmed = true;
            mConfirmedSinceNanoseconds = now;
            mHeldUntilNanoseconds = validUntil;
        }
        mHeldUntilNanoseconds = later(mHeldUntilNanoseconds, validUntil);
        mLease = new ViewLease(mVersion, true, validUntil, mConfirmedSinceNanoseconds);
    }

    private static long later(long first, long second) {
        return first - second >= 0 ? first : second;
    }
}
