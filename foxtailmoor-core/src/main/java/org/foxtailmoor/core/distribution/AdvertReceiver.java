package org.foxtailmoor.core.distribution;

import org.foxtailmoor.protocol.generated.Advert;
import org.foxtailmoor.protocol.generated.TopicState;

/**
 * Handles adverts: records peer versions and crash reports, matches replies to requests, and
 * answers requests.
 */
final class AdvertReceiver {
    private final EngineContext mContext;
    private final DistributionState mState;
    private final AdvertSender mAdvertSender;
    private final StartupCoordinator mStartup;
    private final LeaseManager mLease;
    private final CrashReportBroadcaster mCrashReports;

    AdvertReceiver(
            EngineContext context,
            DistributionState state,
            AdvertSender adverts,
            StartupCoordinator startup,
            LeaseManager lease,
            CrashReportBroadcaster crashReports) {
        mContext = context;
        mState = state;
        mAdvertSender = adverts;
        mStartup = startup;
        mLease = lease;
        mCrashReports = crashReports;
    }

    /**
     * Handles an advert. Adverts from this node, or from an earlier process of the peer, are
     * ignored.
     */
    void receive(String peerId, Advert advert) {
        String id = advert.getSender().isEmpty() ? peerId : advert.getSender();
        if (id.equals(mContext.self().getId())) {
            return;
        }
        mState.resolveSeed(peerId, id);
        if (!mState.peers().touch(id, mContext.now()).applyAdvert(advert)) {
            return;
        }
        for (TopicState state : advert.getTopicsList()) {
            handleTopicState(peerId, state);
        }
        mCrashReports.receive(advert.getCrashReportsList());
        mStartup.recordAnswer(id, advert);
        if (advert.getReplyTo() != 0) {
            AdvertSender.PendingRequest request =
                    mAdvertSender.removePendingRequest(peerId, advert.getReplyTo());
            if (request != null) {
                mLease.handleReply(id, request, advert.getViewConfirmed());
            }
        }
        if (advert.getReplyWanted()) {
            mAdvertSender.sendReply(peerId, advert, isViewConfirmed(advert));
        }
    }

    private void handleTopicState(String peerId, TopicState state) {
        TopicRecord record = mState.topic(state.getTopic());
        if (record == null) {
            return;
        }
        long now = mContext.now();
        record.sourceAge().mergeReported(state.getSourceAgeMilliseconds(), now);
        record.observeVersion(state.getVersion());
        if (record.isApplicable(state.getVersion())) {
            boolean sameRegion = mState.isInOwnRegion(peerId);
            record.fetchScheduler().addHolder(peerId, state.getVersion(), sameRegion, now);
        }
    }

    private boolean isViewConfirmed(Advert advert) {
        for (TopicState state : advert.getTopicsList()) {
            if (state.getTopic() == mState.instances().topic()) {
                return mLease.canConfirm(state.getVersion());
            }
        }
        return false;
    }
}
