package org.foxtailmoor.core.distribution;

import java.util.EnumMap;
import java.util.Map;
import org.foxtailmoor.protocol.DocumentVersions;
import org.foxtailmoor.protocol.generated.Advert;
import org.foxtailmoor.protocol.generated.DocumentVersion;
import org.foxtailmoor.protocol.generated.Topic;
import org.foxtailmoor.protocol.generated.TopicState;

/** State of one peer as known to this node. */
final class Peer {
    private static final int UNRESPONSIVE_AFTER_REQUESTS = 2;
    // Well above the round trip between regions of 60 ms.
    private static final long REPLY_TIMEOUT_NANOSECONDS = Milliseconds.toNanoseconds(1_000);
    private static final long EXCLUSION_NANOSECONDS = Milliseconds.toNanoseconds(10_000);

    private final String mId;
    private final Map<Topic, DocumentVersion> mVersions = new EnumMap<>(Topic.class);
    private long mIncarnation;
    private boolean mConnected;
    private boolean mReady;
    private boolean mLeaving;
    private int mUnansweredRequests;
    private long mLastRequestNanoseconds;
    private boolean mExcluded;
    private long mExcludedSinceNanoseconds;
    private long mLastMessageNanoseconds;

    Peer(String id, long nowNanoseconds) {
        mId = id;
        mLastMessageNanoseconds = nowNanoseconds;
    }

    String id() {
        return mId;
    }

    boolean isConnected() {
        return mConnected;
    }

    void setConnected(boolean connected) {
        mConnected = connected;
    }

    boolean isReady() {
        return mReady;
    }

    boolean isLeaving() {
        return mLeaving;
    }

    long lastMessageNanoseconds() {
        return mLastMessageNanoseconds;
    }

    /** Returns the highest version of a topic that the peer is known to have. */
    DocumentVersion version(Topic topic) {
        return mVersions.getOrDefault(topic, DocumentVersions.NONE);
    }

    /**
     * Records that the peer has a version. The highest one is kept, because messages can arrive out
     * of order.
     */
    void recordVersion(Topic topic, DocumentVersion version) {
        if (DocumentVersions.compare(version, version(topic)) > 0) {
            mVersions.put(topic, version);
        }
    }

    /**
     * Updates this state from an advert.
     *
     * @return false if the advert is from an earlier process of the peer and must be ignored
     */
    boolean applyAdvert(Advert advert) {
        int order = Long.compareUnsigned(advert.getIncarnation(), mIncarnation);
        if (order < 0) {
            return false;
        }
        if (order > 0) {
            mIncarnation = advert.getIncarnation();
            mVersions.clear();
            mLeaving = false;
        }
        mReady = advert.getReady();
        mLeaving = mLeaving || advert.getLeaving();
        for (TopicState state : advert.getTopicsList()) {
            recordVersion(state.getTopic(), state.getVersion());
        }
        return true;
    }

    /** Records that a message from the peer has arrived. */
    void recordMessage(long nowNanoseconds) {
        mLastMessageNanoseconds = nowNanoseconds;
        mUnansweredRequests = 0;
        mExcluded = false;
    }

    /** Records that an advert requesting a reply was sent to the peer. */
    void recordRequest(long nowNanoseconds) {
        mUnansweredRequests++;
        mLastRequestNanoseconds = nowNanoseconds;
    }

    /**
     * Returns whether at least two requests are unanswered and the reply to the last one is
     * overdue.
     */
    boolean isUnresponsive(long nowNanoseconds) {
        return mUnansweredRequests >= UNRESPONSIVE_AFTER_REQUESTS
                && nowNanoseconds - mLastRequestNanoseconds >= REPLY_TIMEOUT_NANOSECONDS;
    }

    /**
     * Excludes the peer from random exchanges for a period, after its connection was closed as
     * unresponsive.
     */
    void excludeFromExchange(long nowNanoseconds) {
        mUnansweredRequests = 0;
        mExcluded = true;
        mExcludedSinceNanoseconds = nowNanoseconds;
    }

    /** Returns whether random exchanges skip the peer. */
    boolean isExcludedFromExchange(long nowNanoseconds) {
        mExcluded = mExcluded && nowNanoseconds - mExcludedSinceNanoseconds < EXCLUSION_NANOSECONDS;
        return mExcluded || mLeaving;
    }
}
