package org.foxtailmoor.core.distribution;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.foxtailmoor.protocol.generated.Advert;
import org.foxtailmoor.protocol.generated.ControlMessage;
import org.foxtailmoor.protocol.generated.DocumentVersion;
import org.foxtailmoor.protocol.generated.Instance;
import org.foxtailmoor.protocol.generated.Topic;
import org.foxtailmoor.protocol.generated.TopicState;

/** Sends adverts and tracks those that await a reply. */
final class AdvertSender {
    /** Maximum number of adverts awaiting a reply; the oldest is dropped beyond it. */
    static final int MAX_PENDING_REQUESTS = 256;

    // Spans several exchanges, so that nodes that missed the first transmission still get the
    // report.
    private static final long CRASH_REPORT_WINDOW_NANOSECONDS = Milliseconds.toNanoseconds(30_000);

    /**
     * An advert that awaits a reply.
     *
     * @param instancesVersion instance list version sent in the advert
     */
    record PendingRequest(String peerId, long sentNanoseconds, DocumentVersion instancesVersion) {}

    private final EngineContext mContext;
    private final DistributionState mState;
    private final CrashReportTable mCrashReports;
    private final Map<Long, PendingRequest> mPendingRequests = new LinkedHashMap<>();
    private long mSequence;

    AdvertSender(EngineContext context, DistributionState state, CrashReportTable crashReports) {
        mContext = context;
        mState = state;
        mCrashReports = crashReports;
    }

    /** Sends an advert that requests a reply. */
    void sendRequest(String peerId, List<Topic> topics) {
        long now = mContext.now();
        mState.peers().touch(mState.instanceIdOf(peerId), now).recordRequest(now);
        mSequence++;
        mPendingRequests.put(
                mSequence,
                new PendingRequest(peerId, mContext.now(), mState.instances().version()));
        if (mPendingRequests.size() > MAX_PENDING_REQUESTS) {
            mPendingRequests.remove(mPendingRequests.keySet().iterator().next());
        }
        send(peerId, newAdvert(peerId, topics).setReplyWanted(true).setSequence(mSequence));
    }

    /** Sends an advert that requests no reply. */
    void sendNotification(String peerId, List<Topic> topics) {
        send(peerId, newAdvert(peerId, topics));
    }

    /** Replies to an advert with the state of the topics that it lists. */
    void sendReply(String peerId, Advert request, boolean viewConfirmed) {
        List<Topic> topics =
                request.getTopicsList().stream()
                        .map(TopicState::getTopic)
                        .filter(DistributionState.TOPICS::contains)
                        .toList();
        send(
                peerId,
                newAdvert(peerId, topics)
                        .setReplyTo(request.getSequence())
                        .setViewConfirmed(viewConfirmed));
    }

    /** Removes and returns the request that a reply belongs to, or null if there is none. */
    PendingRequest removePendingRequest(String peerId, long sequence) {
        PendingRequest request = mPendingRequests.get(sequence);
        boolean sameInstance =
                request != null
                        && mState.instanceIdOf(request.peerId())
                                .equals(mState.instanceIdOf(peerId));
        return sameInstance ? mPendingRequests.remove(sequence) : null;
    }

    private Advert.Builder newAdvert(String peerId, List<Topic> topics) {
        long now = mContext.now();
        Advert.Builder advert =
                Advert.newBuilder()
                        .setSender(mContext.self().getId())
                        .setIncarnation(mContext.incarnation())
                        .setReady(mState.isReady())
                        .setLeaving(mState.isLeaving());
        for (Topic topic : topics) {
            advert.addTopics(topicStateOf(mState.topic(topic), now));
        }
        Instance peer = mState.fleet().find(mState.instanceIdOf(peerId));
        if (peer != null && peer.getServiceId().equals(mContext.self().getServiceId())) {
            advert.addAllCrashReports(
                    mCrashReports.changedWithin(CRASH_REPORT_WINDOW_NANOSECONDS, now));
        }
        return advert;
    }

    private static TopicState topicStateOf(TopicRecord record, long now) {
        TopicState.Builder state =
                TopicState.newBuilder()
                        .setTopic(record.topic())
                        .setSourceAgeMilliseconds(record.sourceAge().toMessageField(now));
        if (!record.version().getDigest().isEmpty()) {
            state.setVersion(record.version());
        }
        return state.build();
    }

    private void send(String peerId, Advert.Builder advert) {
        mContext.outbox().send(peerId, ControlMessage.newBuilder().setAdvert(advert).build());
    }
}
