package org.foxtailmoor.core.distribution;

import java.util.EnumMap;
import java.util.Map;
import org.foxtailmoor.base.TokenBucket;
import org.foxtailmoor.protocol.Document;
import org.foxtailmoor.protocol.DocumentVersions;
import org.foxtailmoor.protocol.generated.Topic;

/**
 * Decides how the node reads the source. Readers watch it. Other nodes poll it when the source age
 * shows that readers are missing, or during startup when peers cannot supply a document. A token
 * bucket keeps the polls of the whole fleet within a budget.
 */
final class SourceReadScheduler {
    private static final double CALL_BURST = 2;
    // Fleet size that the call rate is based on until an instance list is known: the target size.
    private static final int ASSUMED_FLEET_SIZE = 3_000;
    private static final long TAKEOVER_AGE_NANOSECONDS = Milliseconds.toNanoseconds(5_000);
    private static final long DELAY_PER_RANK_NANOSECONDS = Milliseconds.toNanoseconds(1_000);
    private static final long POLL_JITTER_MILLISECONDS = 1_000;
    // Spreads the first calls of a cold start of 2,900 nodes to 1,450 per second, below the
    // source's limit of 2,000.
    private static final long FIRST_READ_JITTER_MILLISECONDS = 2_000;
    private static final long SEED_WAIT_NANOSECONDS = Milliseconds.toNanoseconds(5_000);
    private static final long FIRST_CATALOGUE_WAIT_NANOSECONDS = Milliseconds.toNanoseconds(500);
    private static final long POLL_TIMEOUT_NANOSECONDS = Milliseconds.toNanoseconds(10_000);
    private static final long POLL_INTERVAL_MILLISECONDS = 1_000;

    private static final class Poll {
        private boolean mInProgress;
        private boolean mAnswered;
        private long mSentNanoseconds;
        private long mNextPollNanoseconds;
        private long mJitterNanoseconds;
    }

    private final EngineContext mContext;
    private final DistributionState mState;
    private final StartupCoordinator mStartup;
    private final UpdateHandler mUpdates;
    private final TokenBucket mCallBudget;
    private final Map<Topic, Poll> mPolls = new EnumMap<>(Topic.class);
    private final long mFirstReadJitterNanoseconds;

    SourceReadScheduler(
            EngineContext context,
            DistributionState state,
            StartupCoordinator startup,
            UpdateHandler updates) {
        mContext = context;
        mState = state;
        mStartup = startup;
        mUpdates = updates;
        double rate = (double) context.settings().sourceCallsPerSecond() / ASSUMED_FLEET_SIZE;
        mCallBudget = TokenBucket.of(context.ticker(), rate, CALL_BURST);
        mFirstReadJitterNanoseconds = context.jitterNanoseconds(FIRST_READ_JITTER_MILLISECONDS);
        for (Topic topic : DistributionState.TOPICS) {
            Poll poll = new Poll();
            poll.mNextPollNanoseconds = context.now();
            poll.mJitterNanoseconds = context.jitterNanoseconds(POLL_JITTER_MILLISECONDS);
            mPolls.put(topic, poll);
        }
    }

    /** Returns how to read a topic now. Each {@link SourceRole#POLL} permits a single read. */
    SourceRole role(Topic topic) {
        Poll poll = mPolls.get(topic);
        if (poll == null) {
            return SourceRole.NONE;
        }
        if (mState.isReader()) {
            return SourceRole.WATCH;
        }
        long now = mContext.now();
        boolean waiting =
                poll.mInProgress && now - poll.mSentNanoseconds < POLL_TIMEOUT_NANOSECONDS;
        if (waiting || now - poll.mNextPollNanoseconds < 0) {
            return SourceRole.NONE;
        }
        if (!shouldPoll(topic, poll) || !mCallBudget.tryTake(1)) {
            return SourceRole.NONE;
        }
        poll.mInProgress = true;
        poll.mSentNanoseconds = now;
        return SourceRole.POLL;
    }

    /**
     * Handles a document from the source. A document older than the current one is only reported in
     * the status.
     */
    void handleRead(Topic topic, Document document) {
        TopicRecord record = mState.topic(topic);
        if (record == null) {
            return;
        }
        recordAnswer(topic);
        record.setSourceBehind(DocumentVersions.compare(document.version(), record.version()) < 0);
        mUpdates.applyIfNewer(record, document, DistributionEngine.FROM_SOURCE);
    }

    /** Records that the source has nothing newer than the last read. */
    void handleUnchanged(Topic topic) {
        if (mState.topic(topic) != null) {
            recordAnswer(topic);
        }
    }

    /** Records that the source did not answer. */
    void handleFailure(Topic topic) {
        Poll poll = mPolls.get(topic);
        if (poll != null) {
            completePoll(poll);
        }
    }

    /** Divides the call budget by the number of instances in the new list. */
    void onFleetChanged() {
        int fleet = Math.max(1, mState.fleet().instances().size());
        mCallBudget.resize((double) mContext.settings().sourceCallsPerSecond() / fleet, CALL_BURST);
    }

    private void recordAnswer(Topic topic) {
        mState.topic(topic).sourceAge().recordRead(mContext.now());
        mStartup.recordSourceRead(topic);
        Poll poll = mPolls.get(topic);
        poll.mAnswered = true;
        completePoll(poll);
    }

    private void completePoll(Poll poll) {
        poll.mInProgress = false;
        poll.mJitterNanoseconds = mContext.jitterNanoseconds(POLL_JITTER_MILLISECONDS);
        poll.mNextPollNanoseconds =
                mContext.now()
                        + Milliseconds.toNanoseconds(POLL_INTERVAL_MILLISECONDS)
                        + poll.mJitterNanoseconds;
    }

    private boolean shouldPoll(Topic topic, Poll poll) {
        if (!mState.isReady() && shouldPollAtStartup(topic, poll)) {
            return true;
        }
        SourceAge sourceAge = mState.topic(topic).sourceAge();
        if (mState.instances().document() == Document.EMPTY) {
            return false;
        }
        long age =
                sourceAge.isKnown()
                        ? sourceAge.ageNanoseconds(mContext.now())
                        : mStartup.elapsedNanoseconds();
        return age >= TAKEOVER_AGE_NANOSECONDS + rankDelay() + poll.mJitterNanoseconds;
    }

    private boolean shouldPollAtStartup(Topic topic, Poll poll) {
        long elapsed = mStartup.elapsedNanoseconds();
        boolean missing = mState.topic(topic).document() == Document.EMPTY;
        if (mStartup.isIsolated() && (missing || !poll.mAnswered)) {
            return true;
        }
        if (!missing) {
            return false;
        }
        if (topic == Topic.TOPIC_INSTANCES) {
            long wait = mState.seeds().isEmpty() ? 0 : SEED_WAIT_NANOSECONDS;
            return elapsed >= wait + mFirstReadJitterNanoseconds;
        }
        boolean listed = mState.instances().document() != Document.EMPTY;
        return listed
                && !mStartup.isKnownToPeers(topic)
                && elapsed
                        >= FIRST_CATALOGUE_WAIT_NANOSECONDS + rankDelay() + poll.mJitterNanoseconds;
    }

    private long rankDelay() {
        return mState.readerRank() * DELAY_PER_RANK_NANOSECONDS;
    }
}
