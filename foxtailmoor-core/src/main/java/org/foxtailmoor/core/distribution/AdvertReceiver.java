package org.foxtailmoor.core.distribution;

import org.foxtailmoor.protocol.generated.Advert;
import org.foxtailmoor.protocol.generated.TopicState;

/** Takes in adverts: versions of peers, crash reports, replies and questions. */
final class AdvertReceiver {
    private final EngineContext mContext;
    private final DistributionState mState;
    private final AdvertWriter mAdverts;
    private final StartSystem mStart;
    private final LeaseSystem mLease;
    private final CrashReportSystem mCrashReports;

    AdvertReceiver(
            EngineContext context,
            DistributionState state,
            AdvertWriter adverts,
            StartSystem start,
            LeaseSystem lease,
            CrashReportSystem crashReports) {
        mContext = context;
        mState = state;
        mAdverts = adverts;
        mStart = start;
        mLease = lease;
        mCrashReports = crashReports;
    }

    /**
     * Handles an advert. One from this node, or from an earlier process of the peer, is ignored.
     */
    void receive(String peerId, Advert advert) {
        String id = advert.getSender().isEmpty() ? peerId : advert.getSender();
        if (id.equals(mContext.self().getId())) {
            return;
        }
        mState.resolveSeed(peerId, id);
        if (!mState.peers().use(id, mContext.now()).take(advert)) {
            return;
        }
        for (TopicState state : advert.getTopicsList()) {
            hear(peerId, state);
        }
        mCrashReports.receive(advert.getCrashReportsList());
        mStart.answered(id, advert);
        if (advert.getReplyTo() != 0) {
            AdvertWriter.Ask ask = mAdverts.takeAsk(peerId, advert.getReplyTo());
            if (ask != null) {
                mLease.replied(id, ask, advert.getViewConfirmed());
            }
        }
        if (advert.getReplyWanted()) {
            mAdverts.reply(peerId, advert, isViewConfirmed(advert));
        }
    }

    private void hear(String peerId, TopicState state) {
        TopicRecord record = mState.topic(state.getTopic());
        if (record == null) {
            return;
        }
        long now = mContext.now();
        record.sourceAge().heard(state.getSourceAgeMilliseconds(), now);
        record.hear(state.getVersion());
        if (record.isWanted(state.getVersion())) {
            boolean sameRegion = mState.isInOwnRegion(peerId);
            record.fetchPlan().heard(peerId, state.getVersion(), sameRegion, now);
        }
    }

    private boolean isViewConfirmed(Advert advert) {
        for (TopicState state : advert.getTopicsList()) {
            if (state.getTopic() == mState.instances().topic()) {
                return mLease.confirms(state.getVersion());
            }
        }
        return false;
    }
}
