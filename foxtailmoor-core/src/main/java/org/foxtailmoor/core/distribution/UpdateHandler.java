package org.foxtailmoor.core.distribution;

import java.util.Optional;
import java.util.function.Consumer;
import org.foxtailmoor.base.TokenBucket;
import org.foxtailmoor.protocol.Document;
import org.foxtailmoor.protocol.DocumentVersions;
import org.foxtailmoor.protocol.generated.Busy;
import org.foxtailmoor.protocol.generated.ControlMessage;
import org.foxtailmoor.protocol.generated.DocumentVersion;
import org.foxtailmoor.protocol.generated.Fetch;
import org.foxtailmoor.protocol.generated.Topic;
import org.foxtailmoor.protocol.generated.Update;

/**
 * Applies versions from peers and the source that are newer than the current one, complete and
 * valid, and answers fetches.
 */
final class UpdateHandler {
    /** Full documents that a node sends per second; also the burst size. */
    static final int FULL_DOCUMENTS_PER_SECOND = 64;

    private static final long RETRY_DELAY_NANOSECONDS = Milliseconds.toNanoseconds(500);
    private static final long MIN_BUSY_MILLISECONDS = 100;
    private static final long MAX_BUSY_MILLISECONDS = 60_000;

    private final EngineContext mContext;
    private final DistributionState mState;
    private final UpdatePropagator mPropagator;
    private final Consumer<Topic> mChangeListener;
    private final TokenBucket mFullDocumentBudget;

    /**
     * Creates the handler.
     *
     * @param changeListener called with each topic whose current version has changed
     */
    UpdateHandler(
            EngineContext context,
            DistributionState state,
            UpdatePropagator propagator,
            Consumer<Topic> changeListener) {
        mContext = context;
        mState = state;
        mPropagator = propagator;
        mChangeListener = changeListener;
        mFullDocumentBudget =
                TokenBucket.of(
                        context.ticker(), FULL_DOCUMENTS_PER_SECOND, FULL_DOCUMENTS_PER_SECOND);
    }

    /** Handles an update from a peer. */
    void handleUpdate(String peerId, Update update) {
        TopicRecord record = mState.topic(update.getTopic());
        if (record == null) {
            return;
        }
        long now = mContext.now();
        mState.peers()
                .touch(mState.instanceIdOf(peerId), now)
                .recordVersion(update.getTopic(), update.getVersion());
        record.sourceAge().mergeReported(update.getSourceAgeMilliseconds(), now);
        record.observeVersion(update.getVersion());
        if (!record.isApplicable(update.getVersion())) {
            return;
        }
        UpdateCodec.AssemblyResult result = UpdateCodec.assemble(record.history(), update);
        if (result.document() != null) {
            applyIfNewer(record, result.document(), mState.instanceIdOf(peerId));
            return;
        }
        record.fetchScheduler()
                .addHolder(peerId, update.getVersion(), mState.isInOwnRegion(peerId), now);
        if (result.baseMissing()) {
            record.fetchScheduler().scheduleNow(now);
            fetchIfDue(record);
        } else {
            record.refused().addIncomplete(update.getVersion(), result.fault(), peerId, now);
            record.fetchScheduler().postpone(RETRY_DELAY_NANOSECONDS, now);
        }
    }

    /** Applies and forwards a document if it is newer than the current one and valid. */
    void applyIfNewer(TopicRecord record, Document document, String from) {
        record.observeVersion(document.version());
        if (!record.isApplicable(document.version())) {
            return;
        }
        Topology topology = null;
        Optional<String> fault = Optional.empty();
        if (record.topic() == Topic.TOPIC_INSTANCES) {
            try {
                topology = mContext.topologyFactory().apply(document);
            } catch (IllegalArgumentException e) {
                fault = Optional.of(e.getMessage());
            }
        }
        if (fault.isEmpty()) {
            fault = mContext.listener().check(record.topic(), document);
        }
        if (fault.isPresent()) {
            record.refuseInvalid(document.version(), fault.get(), from, mContext.now());
            return;
        }
        Document previous = record.document();
        record.apply(document, from, mContext.now());
        mState.applyDocument(record.topic(), document, topology);
        mContext.listener().documentApplied(record.topic(), document, from);
        mPropagator.propagate(record, previous, from);
        mChangeListener.accept(record.topic());
    }

    /** Answers a fetch with a delta if the base is known, otherwise with the full document. */
    void handleFetch(String peerId, Fetch fetch) {
        TopicRecord record = mState.topic(fetch.getTopic());
        if (record == null) {
            return;
        }
        DocumentVersion have = fetch.getHave();
        Peer peer = mState.peers().touch(mState.instanceIdOf(peerId), mContext.now());
        peer.recordVersion(record.topic(), have);
        record.observeVersion(have);
        if (DocumentVersions.compare(have, record.version()) >= 0) {
            return;
        }
        Optional<Document> base = record.history().find(have);
        if (base.isEmpty() && !mFullDocumentBudget.tryTake(1)) {
            sendBusy(peerId, record.topic());
            return;
        }
        Update update =
                UpdateCodec.diff(record.topic(), base.orElse(Document.EMPTY), record.document())
                        .toBuilder()
                        .setSourceAgeMilliseconds(record.sourceAge().toMessageField(mContext.now()))
                        .build();
        send(peerId, ControlMessage.newBuilder().setUpdate(update).build());
    }

    /** Postpones the next fetch by one to two times the delay that the peer requests. */
    void handleBusy(Busy busy) {
        TopicRecord record = mState.topic(busy.getTopic());
        if (record != null) {
            long requested = Integer.toUnsignedLong(busy.getRetryAfterMilliseconds());
            long wait = Math.min(requested, MAX_BUSY_MILLISECONDS);
            long jitter = mContext.jitterNanoseconds(wait);
            record.fetchScheduler()
                    .postpone(Milliseconds.toNanoseconds(wait) + jitter, mContext.now());
        }
    }

    void onTick() {
        for (Topic topic : DistributionState.TOPICS) {
            fetchIfDue(mState.topic(topic));
        }
    }

    private void fetchIfDue(TopicRecord record) {
        Optional<String> holder = record.fetchScheduler().pollDue(mContext.now());
        if (holder.isPresent()) {
            Fetch.Builder fetch = Fetch.newBuilder().setTopic(record.topic());
            if (record.document() != Document.EMPTY) {
                fetch.setHave(record.version());
            }
            send(holder.get(), ControlMessage.newBuilder().setFetch(fetch).build());
        }
    }

    private void sendBusy(String peerId, Topic topic) {
        long wait = Milliseconds.fromNanoseconds(mFullDocumentBudget.nanosecondsUntil(1));
        Busy busy =
                Busy.newBuilder()
                        .setTopic(topic)
                        .setRetryAfterMilliseconds((int) Math.max(MIN_BUSY_MILLISECONDS, wait))
                        .build();
        send(peerId, ControlMessage.newBuilder().setBusy(busy).build());
    }

    private void send(String peerId, ControlMessage message) {
        mContext.outbox().send(peerId, message);
    }
}
