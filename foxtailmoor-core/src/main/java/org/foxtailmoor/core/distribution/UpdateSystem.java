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
 * Takes versions from peers and the source, puts those in force that are above the present one,
 * whole and valid, and serves fetches.
 */
final class UpdateSystem {
    /** Whole documents that a node sends in a burst, and per second after it. */
    static final int WHOLE_DOCUMENTS = 64;

    private static final long RETRY_NANOSECONDS = Milliseconds.toNanoseconds(500);
    private static final long LONGEST_BUSY_MILLISECONDS = 60_000;

    private final EngineContext mContext;
    private final DistributionState mState;
    private final PushSystem mPush;
    private final Consumer<Topic> mChanged;
    private final TokenBucket mWholeDocuments;

    /**
     * Creates the system.
     *
     * @param changed is told of each topic with a new version in force
     */
    UpdateSystem(
            EngineContext context,
            DistributionState state,
            PushSystem push,
            Consumer<Topic> changed) {
        mContext = context;
        mState = state;
        mPush = push;
        mChanged = changed;
        mWholeDocuments = TokenBucket.of(context.ticker(), WHOLE_DOCUMENTS, WHOLE_DOCUMENTS);
    }

    /** Handles an update of a peer. */
    void receive(String peerId, Update update) {
        TopicRecord record = mState.topic(update.getTopic());
        if (record == null) {
            return;
        }
        long now = mContext.now();
        mState.peers()
                .use(mState.instanceIdOf(peerId), now)
                .has(update.getTopic(), update.getVersion());
        record.sourceAge().heard(update.getSourceAgeMilliseconds(), now);
        record.hear(update.getVersion());
        if (!record.isWanted(update.getVersion())) {
            return;
        }
        Updates.Assembly assembly = Updates.assemble(record.history(), update);
        if (assembly.document() != null) {
            offer(record, assembly.document(), mState.instanceIdOf(peerId));
            return;
        }
        record.fetchPlan().heard(peerId, update.getVersion(), mState.isInOwnRegion(peerId), now);
        if (assembly.baseMissing()) {
            record.fetchPlan().hasten(now);
            fetchIfDue(record);
        } else {
            record.refused().addIncomplete(update.getVersion(), assembly.fault(), peerId, now);
            record.fetchPlan().postpone(RETRY_NANOSECONDS, now);
        }
    }

    /** Puts a document in force if it is above the present one and valid. */
    void offer(TopicRecord record, Document document, String from) {
        record.hear(document.version());
        if (!record.isWanted(document.version())) {
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
            record.refuse(document.version(), fault.get(), from, mContext.now());
            return;
        }
        Document previous = record.document();
        record.putInForce(document, from, mContext.now());
        mState.derive(record.topic(), document, topology);
        mContext.listener().inForce(record.topic(), document, from);
        mPush.push(record, previous, from);
        mChanged.accept(record.topic());
    }

    /** Serves a fetch with a delta if the base is known, else with the whole document. */
    void serve(String peerId, Fetch fetch) {
        TopicRecord record = mState.topic(fetch.getTopic());
        if (record == null) {
            return;
        }
        DocumentVersion have = fetch.getHave();
        Peer peer = mState.peers().use(mState.instanceIdOf(peerId), mContext.now());
        peer.has(record.topic(), have);
        record.hear(have);
        if (DocumentVersions.compare(have, record.version()) >= 0) {
            return;
        }
        Optional<Document> base = record.history().find(have);
        if (base.isEmpty() && !mWholeDocuments.tryTake(1)) {
            sendBusy(peerId, record.topic());
            return;
        }
        Update update =
                Updates.write(record.topic(), base.orElse(Document.EMPTY), record.document())
                        .toBuilder()
                        .setSourceAgeMilliseconds(record.sourceAge().stated(mContext.now()))
                        .build();
        send(peerId, ControlMessage.newBuilder().setUpdate(update).build());
    }

    /** Puts a fetch off as long as the peer says, spread over twice that time. */
    void receiveBusy(Busy busy) {
        TopicRecord record = mState.topic(busy.getTopic());
        if (record != null) {
            long stated = Integer.toUnsignedLong(busy.getRetryAfterMilliseconds());
            long wait = Math.min(stated, LONGEST_BUSY_MILLISECONDS);
            long jitter = mContext.jitterNanoseconds(wait);
            record.fetchPlan().postpone(Milliseconds.toNanoseconds(wait) + jitter, mContext.now());
        }
    }

    void onTick() {
        for (Topic topic : DistributionState.TOPICS) {
            fetchIfDue(mState.topic(topic));
        }
    }

    private void fetchIfDue(TopicRecord record) {
        Optional<String> holder = record.fetchPlan().takeDue(mContext.now());
        if (holder.isPresent()) {
            Fetch.Builder fetch = Fetch.newBuilder().setTopic(record.topic());
            if (record.document() != Document.EMPTY) {
                fetch.setHave(record.version());
            }
            send(holder.get(), ControlMessage.newBuilder().setFetch(fetch).build());
        }
    }

    private void sendBusy(String peerId, Topic topic) {
        long wait = Milliseconds.ofNanoseconds(mWholeDocuments.nanosecondsUntil(1));
        Busy busy =
                Busy.newBuilder()
                        .setTopic(topic)
                        .setRetryAfterMilliseconds((int) Math.max(100, wait))
                        .build();
        send(peerId, ControlMessage.newBuilder().setBusy(busy).build());
    }

    private void send(String peerId, ControlMessage message) {
        mContext.outbox().send(peerId, message);
    }
}
