package org.foxtailmoor.core.distribution;

import java.util.EnumMap;
import java.util.Map;
import org.foxtailmoor.protocol.DocumentVersions;
import org.foxtailmoor.protocol.generated.Advert;
import org.foxtailmoor.protocol.generated.DocumentVersion;
import org.foxtailmoor.protocol.generated.Topic;
import org.foxtailmoor.protocol.generated.TopicState;

/** What a node knows of one peer. */
final class Peer {
    private static final int SILENT_AFTER_ASKS = 2;
    // Far above a round trip between regions, which takes 60 ms.
    private static final long REPLY_NANOSECONDS = Milliseconds.toNanoseconds(1_000);
    private static final long AVOID_NANOSECONDS = Milliseconds.toNanoseconds(10_000);

    private final String mId;
    private final Map<Topic, DocumentVersion> mVersions = new EnumMap<>(Topic.class);
    private long mIncarnation;
    private boolean mConnected;
    private boolean mReady;
    private boolean mLeaving;
    private int mUnanswered;
    private long mAskedNanoseconds;
    private boolean mAvoided;
    private long mAvoidedNanoseconds;
    private long mHeardNanoseconds;

    Peer(String id, long nowNanoseconds) {
        mId = id;
        mHeardNanoseconds = nowNanoseconds;
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

    long heardNanoseconds() {
        return mHeardNanoseconds;
    }

    /** Returns the highest version that the peer is known to have. */
    DocumentVersion version(Topic topic) {
        return mVersions.getOrDefault(topic, DocumentVersions.NONE);
    }

    /** Takes notice that the peer has a version. Messages may cross, so the highest one counts. */
    void has(Topic topic, DocumentVersion version) {
        if (DocumentVersions.compare(version, version(topic)) > 0) {
            mVersions.put(topic, version);
        }
    }

    /**
     * Takes over what an advert states.
     *
     * @return false if the advert is from an earlier process of the peer and must be ignored
     */
    boolean take(Advert advert) {
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
            has(state.getTopic(), state.getVersion());
        }
        return true;
    }

    /** Takes notice of any message of the peer. */
    void heard(long nowNanoseconds) {
        mHeardNanoseconds = nowNanoseconds;
        mUnanswered = 0;
        mAvoided = false;
    }

    /** Counts an advert that wants a reply. */
    void asked(long nowNanoseconds) {
        mUnanswered++;
        mAskedNanoseconds = nowNanoseconds;
    }

    /** Returns whether two adverts are unanswered and the last of them had time for a reply. */
    boolean isOverdue(long nowNanoseconds) {
        return mUnanswered >= SILENT_AFTER_ASKS
                && nowNanoseconds - mAskedNanoseconds >= REPLY_NANOSECONDS;
    }

    /** Takes notice that the connection was closed, so that the peer is left alone for a while. */
    void avoid(long nowNanoseconds) {
        mUnanswered = 0;
        mAvoided = true;
        mAvoidedNanoseconds = nowNanoseconds;
    }

    /** Returns whether a random exchange leaves the peer out. */
    boolean isAvoided(long nowNanoseconds) {
        mAvoided = mAvoided && nowNanoseconds - mAvoidedNanoseconds < AVOID_NANOSECONDS;
        return mAvoided || mLeaving;
    }
}
