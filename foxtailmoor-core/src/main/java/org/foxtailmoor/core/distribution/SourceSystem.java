package org.foxtailmoor.core.distribution;

import java.util.EnumMap;
import java.util.Map;
import org.foxtailmoor.base.TokenBucket;
import org.foxtailmoor.protocol.Document;
import org.foxtailmoor.protocol.DocumentVersions;
import org.foxtailmoor.protocol.generated.Topic;

/**
 * Decides how the node reads the source. Readers watch it. Other nodes read once when the source's
 * age shows that readers are missing, or when they start and peers do not help; the calls of the
 * whole fleet together stay within a budget.
 */
final class SourceSystem {
    private static final double BURST = 2;
    // Rate of a node that does not know the size of the fleet yet: that of the target size.
    private static final int ASSUMED_FLEET = 3_000;
    private static final long TAKEOVER_AGE_NANOSECONDS = Milliseconds.toNanoseconds(5_000);
    private static final long RANK_NANOSECONDS = Milliseconds.toNanoseconds(1_000);
    private static final long JITTER_MILLISECONDS = 1_000;
    // A cold start of 2,900 nodes makes 1,450 first calls per second, below the source's 2,000.
    private static final long FIRST_READ_JITTER_MILLISECONDS = 2_000;
    private static final long SEED_NANOSECONDS = Milliseconds.toNanoseconds(5_000);
    private static final long FIRST_CATALOGUE_NANOSECONDS = Milliseconds.toNanoseconds(500);
    private static final long POLL_TIMEOUT_NANOSECONDS = Milliseconds.toNanoseconds(10_000);
    private static final long POLL_GAP_MILLISECONDS = 1_000;

    private static final class Poll {
        private boolean mUnderWay;
        private boolean mAnswered;
        private long mSentNanoseconds;
        private long mNotBeforeNanoseconds;
        private long mJitterNanoseconds;
    }

    private final EngineContext mContext;
    private final DistributionState mState;
    private final StartSystem mStart;
    private final UpdateSystem mUpdates;
    private final TokenBucket mTokens;
    private final Map<Topic, Poll> mPolls = new EnumMap<>(Topic.class);
    private final long mFirstReadJitterNanoseconds;

    SourceSystem(
            EngineContext context,
            DistributionState state,
            StartSystem start,
            UpdateSystem updates) {
        mContext = context;
        mState = state;
        mStart = start;
        mUpdates = updates;
        double rate = (double) context.settings().sourceCallsPerSecond() / ASSUMED_FLEET;
        mTokens = TokenBucket.of(context.ticker(), rate, BURST);
        mFirstReadJitterNanoseconds = context.jitterNanoseconds(FIRST_READ_JITTER_MILLISECONDS);
        for (Topic topic : DistributionState.TOPICS) {
            Poll poll = new Poll();
            poll.mNotBeforeNanoseconds = context.now();
            poll.mJitterNanoseconds = context.jitterNanoseconds(JITTER_MILLISECONDS);
            mPolls.put(topic, poll);
        }
    }

    /** Returns how to read a topic now; a poll is granted once. */
    SourceRole role(Topic topic) {
        Poll poll = mPolls.get(topic);
        if (poll == null) {
            return SourceRole.NONE;
        }
        if (mState.isReader()) {
            return SourceRole.WATCH;
        }
        long now = mContext.now();
        boolean waiting = poll.mUnderWay && now - poll.mSentNanoseconds < POLL_TIMEOUT_NANOSECONDS;
        if (waiting || now - poll.mNotBeforeNanoseconds < 0) {
            return SourceRole.NONE;
        }
        if (!isPollWanted(topic, poll) || !mTokens.tryTake(1)) {
            return SourceRole.NONE;
        }
        poll.mUnderWay = true;
        poll.mSentNanoseconds = now;
        return SourceRole.POLL;
    }

    /** Takes a document from the source. An older one than that in force is reported only. */
    void read(Topic topic, Document document) {
        TopicRecord record = mState.topic(topic);
        if (record == null) {
            return;
        }
        answered(topic);
        record.setSourceBehind(DocumentVersions.compare(document.version(), record.version()) < 0);
        mUpdates.offer(record, document, DistributionEngine.FROM_SOURCE);
    }

    /** Takes notice that the source has nothing newer than the last read. */
    void unchanged(Topic topic) {
        if (mState.topic(topic) != null) {
            answered(topic);
        }
    }

    /** Takes notice that the source did not answer. */
    void failed(Topic topic) {
        Poll poll = mPolls.get(topic);
        if (poll != null) {
            finish(poll);
        }
    }

    /** Spreads the budget over the instances of a new list. */
    void fleetChanged() {
        int fleet = Math.max(1, mState.fleet().instances().size());
        mTokens.resize((double) mContext.settings().sourceCallsPerSecond() / fleet, BURST);
    }

    private void answered(Topic topic) {
        mState.topic(topic).sourceAge().read(mContext.now());
        mStart.sourceRead(topic);
        Poll poll = mPolls.get(topic);
        poll.mAnswered = true;
        finish(poll);
    }

    private void finish(Poll poll) {
        poll.mUnderWay = false;
        poll.mJitterNanoseconds = mContext.jitterNanoseconds(JITTER_MILLISECONDS);
        poll.mNotBeforeNanoseconds =
                mContext.now()
                        + Milliseconds.toNanoseconds(POLL_GAP_MILLISECONDS)
                        + poll.mJitterNanoseconds;
    }

    private boolean isPollWanted(Topic topic, Poll poll) {
        if (!mState.isReady() && isStartPollWanted(topic, poll)) {
            return true;
        }
        SourceAge sourceAge = mState.topic(topic).sourceAge();
        if (mState.instances().document() == Document.EMPTY) {
            return false;
        }
        long age =
                sourceAge.isKnown()
                        ? sourceAge.nanoseconds(mContext.now())
                        : mStart.elapsedNanoseconds();
        return age >= TAKEOVER_AGE_NANOSECONDS + rankDelay() + poll.mJitterNanoseconds;
    }

    private boolean isStartPollWanted(Topic topic, Poll poll) {
        long elapsed = mStart.elapsedNanoseconds();
        boolean missing = mState.topic(topic).document() == Document.EMPTY;
        if (mStart.isAlone() && (missing || !poll.mAnswered)) {
            return true;
        }
        if (!missing) {
            return false;
        }
        if (topic == Topic.TOPIC_INSTANCES) {
            long wait = mState.seeds().isEmpty() ? 0 : SEED_NANOSECONDS;
            return elapsed >= wait + mFirstReadJitterNanoseconds;
        }
        boolean listed = mState.instances().document() != Document.EMPTY;
        return listed
                && !mStart.isKnownToPeers(topic)
                && elapsed >= FIRST_CATALOGUE_NANOSECONDS + rankDelay() + poll.mJitterNanoseconds;
    }

    private long rankDelay() {
        return mState.readerRank() * RANK_NANOSECONDS;
    }
}
