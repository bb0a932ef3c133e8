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

/** Sends adverts and remembers which of them wait for a reply. */
final class AdvertWriter {
    /** Largest number of adverts remembered as waiting for a reply. */
    static final int LARGEST_ASKS = 256;

    // Long enough for several exchanges, so that a report reaches nodes that missed it at first.
    private static final long REPORTS_REPEATED_NANOSECONDS = Milliseconds.toNanoseconds(30_000);

    /**
     * An advert that waits for a reply.
     *
     * @param instancesVersion version of the instance list that the advert stated
     */
    record Ask(String peerId, long sentNanoseconds, DocumentVersion instancesVersion) {}

    private final EngineContext mContext;
    private final DistributionState mState;
    private final CrashReportTable mCrashReports;
    private final Map<Long, Ask> mAsks = new LinkedHashMap<>();
    private long mSequence;

    AdvertWriter(EngineContext context, DistributionState state, CrashReportTable crashReports) {
        mContext = context;
        mState = state;
        mCrashReports = crashReports;
    }

    /** Sends an advert that wants a reply. */
    void ask(String peerId, List<Topic> topics) {
        long now = mContext.now();
        mState.peers().use(mState.instanceIdOf(peerId), now).asked(now);
        mSequence++;
        mAsks.put(mSequence, new Ask(peerId, mContext.now(), mState.instances().version()));
        if (mAsks.size() > LARGEST_ASKS) {
            mAsks.remove(mAsks.keySet().iterator().next());
        }
        send(peerId, advert(peerId, topics).setReplyWanted(true).setSequence(mSequence));
    }

    /** Sends an advert that wants no reply. */
    void tell(String peerId, List<Topic> topics) {
        send(peerId, advert(peerId, topics));
    }

    /** Answers an advert, about the topics that it stated. */
    void reply(String peerId, Advert asked, boolean viewConfirmed) {
        List<Topic> topics =
                asked.getTopicsList().stream()
                        .map(TopicState::getTopic)
                        .filter(DistributionState.TOPICS::contains)
                        .toList();
        send(
                peerId,
                advert(peerId, topics)
                        .setReplyTo(asked.getSequence())
                        .setViewConfirmed(viewConfirmed));
    }

    /** Returns the advert that a reply answers and forgets it, or null if it is not known. */
    Ask takeAsk(String peerId, long sequence) {
        Ask ask = mAsks.get(sequence);
        boolean fromAsked =
                ask != null
                        && mState.instanceIdOf(ask.peerId()).equals(mState.instanceIdOf(peerId));
        return fromAsked ? mAsks.remove(sequence) : null;
    }

    private Advert.Builder advert(String peerId, List<Topic> topics) {
        long now = mContext.now();
        Advert.Builder advert =
                Advert.newBuilder()
                        .setSender(mContext.self().getId())
                        .setIncarnation(mContext.incarnation())
                        .setReady(mState.isReady())
                        .setLeaving(mState.isLeaving());
        for (Topic topic : topics) {
            advert.addTopics(stateOf(mState.topic(topic), now));
        }
        Instance peer = mState.fleet().find(mState.instanceIdOf(peerId));
        if (peer != null && peer.getServiceId().equals(mContext.self().getServiceId())) {
            advert.addAllCrashReports(
                    mCrashReports.changedWithin(REPORTS_REPEATED_NANOSECONDS, now));
        }
        return advert;
    }

    private static TopicState stateOf(TopicRecord record, long now) {
        TopicState.Builder state =
                TopicState.newBuilder()
                        .setTopic(record.topic())
                        .setSourceAgeMilliseconds(record.sourceAge().stated(now));
        if (!record.version().getDigest().isEmpty()) {
            state.setVersion(record.version());
        }
        return state.build();
    }

    private void send(String peerId, Advert.Builder advert) {
        mContext.outbox().send(peerId, ControlMessage.newBuilder().setAdvert(advert).build());
    }
}
