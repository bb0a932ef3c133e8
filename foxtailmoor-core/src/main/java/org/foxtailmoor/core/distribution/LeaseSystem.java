package org.foxtailmoor.core.distribution;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.foxtailmoor.base.RendezvousHash;
import org.foxtailmoor.protocol.DocumentVersions;
import org.foxtailmoor.protocol.generated.DocumentVersion;
import org.foxtailmoor.protocol.generated.Instance;
import org.foxtailmoor.protocol.generated.Topic;

/**
 * Keeps the view lease of the node's own service: a majority of the lease group confirmed within
 * the last 3 s that it has heard of no newer instance list.
 *
 * <p>A confirmation counts from the moment of the question. A member that has heard of a newer list
 * denies, and the question itself tells the member which list the asker has.
 */
final class LeaseSystem {
    /** Time for which a confirmation counts. */
    static final long LEASE_NANOSECONDS = Milliseconds.toNanoseconds(3_000);

    /**
     * Size to which other instances fill the group. It is even, because one change of the list may
     * exchange one filling member for another: majorities of two such groups overlap only if their
     * size is even (4 + 4 of 7, but 3 + 3 of 6).
     */
    static final int SMALLEST_GROUP = 6;

    /** Largest group, even for the same reason; it bounds the control bytes of large services. */
    static final int LARGEST_GROUP = 16;

    // In this time the node asks as many members as it needs, so that a lease is renewed about
    // twice before it ends.
    private static final long ROUND_NANOSECONDS = Milliseconds.toNanoseconds(1_500);

    private final EngineContext mContext;
    private final DistributionState mState;
    private final AdvertWriter mAdverts;
    private final Map<String, Long> mConfirmations = new HashMap<>();
    private Set<String> mMembers = Set.of();
    private List<String> mOthers = List.of();
    private boolean mMember;
    private int mNeeded;
    private DocumentVersion mVersion = DocumentVersions.NONE;
    private int mNextIndex;
    private long mNextAskNanoseconds;
    private boolean mConfirmed;
    private long mConfirmedSinceNanoseconds;
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
        Set<String> members = members();
        if (!members.equals(mMembers)) {
            mMembers = members;
            mConfirmed = false;
        }
        List<String> group = group(members);
        String self = mContext.self().getId();
        mMember = members.contains(self);
        int majority = group.size() / 2 + 1;
        mNeeded = group.remove(self) ? majority - 1 : majority;
        boolean sameGroup = group.equals(mOthers);
        mOthers = group;
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
        if (!mOthers.contains(instanceId)) {
            return;
        }
        if (!confirmed || !ask.instancesVersion().equals(mVersion)) {
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
        if (!mMember || !mState.isReady() || sent.size() < mNeeded) {
            mLease = ViewLease.NONE;
            return;
        }
        long start = mNeeded == 0 ? now : sent.get(mNeeded - 1);
        long validUntil = start + LEASE_NANOSECONDS;
        if (validUntil - now <= 0) {
            mLease = ViewLease.NONE;
            return;
        }
        if (!mConfirmed) {
            mConfirmed = true;
            mConfirmedSinceNanoseconds = now;
        }
        mLease = new ViewLease(mVersion, true, validUntil, mConfirmedSinceNanoseconds);
    }

    private Set<String> members() {
        Set<String> members = new LinkedHashSet<>();
        for (Instance instance : mState.fleet().ofService(mContext.self().getServiceId())) {
            boolean home = instance.getRegion().equals(mState.facts().homeRegion());
            if (home && !instance.getLeaving()) {
                members.add(instance.getId());
            }
        }
        return members;
    }

    private List<String> group(Set<String> members) {
        String serviceId = mContext.self().getServiceId();
        if (members.size() >= SMALLEST_GROUP) {
            List<String> ranked = RendezvousHash.rank(serviceId, members);
            return new ArrayList<>(ranked.subList(0, Math.min(LARGEST_GROUP, ranked.size())));
        }
        List<String> group = new ArrayList<>(members);
        List<String> fillers = new ArrayList<>();
        for (Instance instance : mState.fleet().ofRegion(mState.facts().homeRegion())) {
            if (!instance.getLeaving() && !members.contains(instance.getId())) {
                fillers.add(instance.getId());
            }
        }
        for (String filler : RendezvousHash.rank(serviceId, fillers)) {
            if (group.size() < SMALLEST_GROUP) {
                group.add(filler);
            }
        }
        Collections.sort(group);
        return group;
    }

    private static long later(long first, long second) {
        return first - second >= 0 ? first : second;
    }
}
