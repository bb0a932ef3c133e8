package org.foxtailmoor.core.distribution;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.foxtailmoor.protocol.DocumentVersions;
import org.foxtailmoor.protocol.generated.DocumentVersion;
import org.foxtailmoor.protocol.generated.Topic;

/**
 * Maintains the view lease of the node's own service. The lease is held while a quorum of the lease
 * group has confirmed, within the last 3 s, that it knows of no newer instance list.
 *
 * <p>A confirmation is valid from the time its request was sent. A voter that knows of a newer list
 * denies the request; the request itself tells the voter which list the requester has.
 */
final class LeaseManager {
    /** Time for which a confirmation is valid, from the sending of its request. */
    static final long LEASE_DURATION_NANOSECONDS = Milliseconds.toNanoseconds(3_000);

    // Time in which the node sends as many requests as it needs confirmations. Half the lease
    // duration, so that a lease is renewed about twice before it expires.
    private static final long RENEWAL_ROUND_NANOSECONDS = Milliseconds.toNanoseconds(1_500);

    private final EngineContext mContext;
    private final DistributionState mState;
    private final AdvertSender mAdvertSender;
    private final Map<String, Long> mConfirmations = new HashMap<>();
    private LeaseGroup mGroup = LeaseGroup.EMPTY;
    private List<String> mOtherVoters = List.of();
    private boolean mIsMember;
    private int mRequiredConfirmations;
    private DocumentVersion mVersion = DocumentVersions.NONE;
    private int mNextVoterIndex;
    private long mNextRequestNanoseconds;
    private boolean mConfirmed;
    private long mConfirmedSinceNanoseconds;
    private long mHeldUntilNanoseconds;
    private ViewLease mLease = ViewLease.NONE;

    LeaseManager(EngineContext context, DistributionState state, AdvertSender adverts) {
        mContext = context;
        mState = state;
        mAdvertSender = adverts;
        mNextRequestNanoseconds = context.now();
    }

    ViewLease lease() {
        return mLease;
    }

    /** Recomputes the lease group after a document has become current. */
    void onDocumentsChanged() {
        String self = mContext.self().getId();
        String homeRegion = mState.catalogueRegions().homeRegion();
        LeaseGroup group =
                LeaseGroup.of(mState.fleet(), mContext.self().getServiceId(), homeRegion);
        if (!group.members().equals(mGroup.members())) {
            mConfirmed = false;
        }
        boolean sameGroup = group.equals(mGroup);
        mGroup = group;
        mIsMember = group.members().contains(self);
        mOtherVoters = new ArrayList<>(group.voters());
        mRequiredConfirmations = mOtherVoters.remove(self) ? group.quorum() - 1 : group.quorum();
        boolean sameVersion = mVersion.equals(mState.instances().version());
        mVersion = mState.instances().version();
        if (sameGroup && sameVersion) {
            return;
        }
        mConfirmations.clear();
        mLease = ViewLease.NONE;
        if (mIsMember && mState.isReady()) {
            mOtherVoters.forEach(this::requestConfirmation);
        }
    }

    /** Returns whether this node may confirm the instance list version of a requester. */
    boolean canConfirm(DocumentVersion requesterVersion) {
        return mState.isReady()
                && DocumentVersions.compare(mState.instances().newestHeard(), requesterVersion)
                        <= 0;
    }

    /** Handles the reply of a peer to a request of this node. */
    void handleReply(String instanceId, AdvertSender.PendingRequest request, boolean confirmed) {
        if (!mOtherVoters.contains(instanceId) || !request.instancesVersion().equals(mVersion)) {
            return;
        }
        if (!confirmed) {
            mConfirmations.remove(instanceId);
        } else {
            mConfirmations.merge(instanceId, request.sentNanoseconds(), LeaseManager::later);
        }
        updateLease();
    }

    void onTick() {
        if (!mIsMember || !mState.isReady()) {
            return;
        }
        long now = mContext.now();
        while (!mOtherVoters.isEmpty() && now - mNextRequestNanoseconds >= 0) {
            // After a pause of the process, missed requests are not sent late.
            long interval = RENEWAL_ROUND_NANOSECONDS / Math.max(1, mRequiredConfirmations);
            mNextRequestNanoseconds = later(mNextRequestNanoseconds + interval, now - interval);
            requestConfirmation(mOtherVoters.get(mNextVoterIndex % mOtherVoters.size()));
            mNextVoterIndex = (mNextVoterIndex + 1) % mOtherVoters.size();
        }
        updateLease();
    }

    private void requestConfirmation(String peerId) {
        mAdvertSender.sendRequest(peerId, List.of(Topic.TOPIC_INSTANCES));
    }

    private void updateLease() {
        long now = mContext.now();
        List<Long> sentTimes = new ArrayList<>(mConfirmations.values());
        sentTimes.sort((first, second) -> Long.compare(second - now, first - now));
        mLease = ViewLease.NONE;
        if (!mIsMember || !canConfirm(mVersion) || sentTimes.size() < mRequiredConfirmations) {
            return;
        }
        long confirmedNanoseconds =
                mRequiredConfirmations == 0 ? now : sentTimes.get(mRequiredConfirmations - 1);
        long validUntil = confirmedNanoseconds + LEASE_DURATION_NANOSECONDS;
        if (validUntil - now <= 0) {
            return;
        }
        // While the lease was lapsed, another node may have been home under an instance list that
        // this node missed.
        boolean lapsed = confirmedNanoseconds - mHeldUntilNanoseconds > 0;
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
