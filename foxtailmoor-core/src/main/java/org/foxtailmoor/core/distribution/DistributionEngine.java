package org.foxtailmoor.core.distribution;

import io.netty.util.concurrent.Ticker;
import java.util.List;
import java.util.Objects;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.foxtailmoor.protocol.Document;
import org.foxtailmoor.protocol.generated.ControlMessage;
import org.foxtailmoor.protocol.generated.CrashReport;
import org.foxtailmoor.protocol.generated.Instance;
import org.foxtailmoor.protocol.generated.Topic;

/**
 * Keeps the documents of one node in line with the fleet: pushes, fetches and exchanges versions
 * with peers, and decides who reads the configuration service.
 *
 * <p>All methods belong to one thread, the control loop. The engine does no input or output of its
 * own; it reads the time only from its ticker.
 *
 * <pre>{@code
 * DistributionEngine engine =
 *         DistributionEngine.builder()
 *                 .self(instance)
 *                 .incarnation(startMilliseconds)
 *                 .ticker(Ticker.systemTicker())
 *                 .random(random)
 *                 .settings(DistributionSettings.DEFAULT)
 *                 .outbox(outbox)
 *                 .listener(listener)
 *                 .build();
 * engine.addSeed("10.0.0.7:7402");
 * loop.scheduleAtFixedRate(engine::onTick, 0, 100, TimeUnit.MILLISECONDS);
 * }</pre>
 */
public final class DistributionEngine {
    /** Sender that is given for documents read from the configuration service. */
    public static final String FROM_SOURCE = "source";

    private final EngineContext mContext;
    private final DistributionState mState;
    private final PushSystem mPush;
    private final UpdateSystem mUpdates;
    private final ExchangeSystem mExchange;
    private final StartSystem mStart;
    private final SourceSystem mSource;
    private final LeaseSystem mLease;
    private final CrashReportSystem mCrashReports;
    private final AdvertReceiver mReceiver;

    private DistributionEngine(EngineContext context) {
        mContext = context;
        mState = new DistributionState(context);
        CrashReportTable reports = new CrashReportTable();
        AdvertWriter adverts = new AdvertWriter(context, mState, reports);
        mPush = new PushSystem(context, mState, adverts);
        mUpdates = new UpdateSystem(context, mState, mPush, this::documentChanged);
        mExchange = new ExchangeSystem(context, mState, adverts);
        mStart = new StartSystem(context, mState, adverts);
        mSource = new SourceSystem(context, mState, mStart, mUpdates);
        mLease = new LeaseSystem(context, mState, adverts);
        mCrashReports = new CrashReportSystem(context, mState, reports, adverts);
        mReceiver = new AdvertReceiver(context, mState, adverts, mStart, mLease, mCrashReports);
    }

    /** Returns a builder without values. */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Adds a peer that is known only by address, to be asked before an instance list is known. Once
     * the seed answers, its id is the one in its adverts.
     *
     * @param peerId id that the outbox can send to, not null
     */
    public void addSeed(String peerId) {
        mState.addSeed(Objects.requireNonNull(peerId, "peerId"));
    }

    /**
     * Handles a message of a peer.
     *
     * @param peerId id of the peer, as given to the outbox or as stated by the peer
     * @param message message, not null
     */
    public void onMessage(String peerId, ControlMessage message) {
        mState.peers().use(mState.instanceIdOf(peerId), mContext.now()).heard(mContext.now());
        switch (message.getKindCase()) {
            case ADVERT -> mReceiver.receive(peerId, message.getAdvert());
            case UPDATE -> mUpdates.receive(peerId, message.getUpdate());
            case FETCH -> mUpdates.serve(peerId, message.getFetch());
            case BUSY -> mUpdates.receiveBusy(message.getBusy());
            default -> {
                // A kind of a later program version; there is nothing to do for it.
            }
        }
    }

    /** Takes notice that a connection to or from a peer is open. */
    public void onPeerConnected(String peerId) {
        mState.peers().use(mState.instanceIdOf(peerId), mContext.now()).setConnected(true);
    }

    /** Takes notice that the connection to a peer has ended or could not be opened. */
    public void onPeerDisconnected(String peerId) {
        Peer peer = mState.peers().find(mState.instanceIdOf(peerId));
        if (peer != null) {
            peer.setConnected(false);
        }
    }

    /**
     * Returns how to use the configuration service for a topic now. {@link SourceRole#POLL} is
     * answered once per takeover token; the caller then reads once. Ask about every 100 ms.
     */
    public SourceRole sourceRole(Topic topic) {
        return mSource.role(topic);
    }

    /**
     * Takes a whole document that was read from the source.
     *
     * @param topic topic of the document
     * @param document document as read, not null
     */
    public void onSourceRead(Topic topic, Document document) {
        mSource.read(topic, document);
    }

    /** Takes notice that the source answered and has nothing newer than the last read. */
    public void onSourceUnchanged(Topic topic) {
        mSource.unchanged(topic);
    }

    /** Takes notice that the source did not answer, or not with a whole document. */
    public void onSourceFailed(Topic topic) {
        mSource.failed(topic);
    }

    /** Returns the document in force, {@link Document#EMPTY} before the first. */
    public Document document(Topic topic) {
        return mState.topic(topic).document();
    }

    /** Returns the instances of the list in force sorted by id, unmodifiable. */
    public List<Instance> instances() {
        return mState.fleet().instances();
    }

    /** Runs what is due. Call it every 100 ms. */
    public void onTick() {
        mStart.onTick();
        mUpdates.onTick();
        mExchange.onTick();
        mLease.onTick();
        mCrashReports.onTick();
    }

    /** Returns whether the start has finished, so that the node may serve. Stays true. */
    public boolean isReady() {
        return mState.isReady();
    }

    /** Returns the lease of the node's own service. */
    public ViewLease viewLease() {
        return mLease.lease();
    }

    /** Tells peers that the node is leaving, and hands its tree children what they lack. */
    public void startLeaving() {
        if (!mState.isLeaving()) {
            mState.setLeaving();
            mPush.handOver();
        }
    }

    /**
     * Spreads a crash count of the node's own service.
     *
     * @param report report, not null; replaces an earlier one with the same fingerprint
     */
    public void reportCrash(CrashReport report) {
        mCrashReports.report(report);
    }

    /** Returns the state at this moment. */
    public DistributionStatus status() {
        return StatusWriter.write(mState, mContext.now());
    }

    private void documentChanged(Topic topic) {
        if (topic == Topic.TOPIC_INSTANCES) {
            mSource.fleetChanged();
        }
        mLease.documentsChanged();
    }

    /** Builds an engine. Every value but the settings is required. */
    public static final class Builder {
        private Instance mSelf;
        private long mIncarnation;
        private Ticker mTicker;
        private RandomGenerator mRandom;
        private DistributionSettings mSettings = DistributionSettings.DEFAULT;
        private ControlOutbox mOutbox;
        private DocumentListener mListener;
        private Function<Document, Topology> mTopologyFactory = Topology::of;

        private Builder() {}

        /** Sets the node's own entry; it need not be in the instance list yet. */
        public Builder self(Instance self) {
            mSelf = self;
            return this;
        }

        /** Sets the start time of the process in milliseconds since the epoch. */
        public Builder incarnation(long incarnation) {
            mIncarnation = incarnation;
            return this;
        }

        /** Sets the clock. */
        public Builder ticker(Ticker ticker) {
            mTicker = ticker;
            return this;
        }

        /** Sets the source of randomness. */
        public Builder random(RandomGenerator random) {
            mRandom = random;
            return this;
        }

        /** Sets the settings, default {@link DistributionSettings#DEFAULT}. */
        public Builder settings(DistributionSettings settings) {
            mSettings = settings;
            return this;
        }

        /** Sets where messages go. */
        public Builder outbox(ControlOutbox outbox) {
            mOutbox = outbox;
            return this;
        }

        /** Sets who receives documents and crash reports. */
        public Builder listener(DocumentListener listener) {
            mListener = listener;
            return this;
        }

        /**
         * Sets what derives the orders of an instance list, so that many engines can share them.
         */
        Builder topologyFactory(Function<Document, Topology> factory) {
            mTopologyFactory = factory;
            return this;
        }

        /**
         * Returns the engine.
         *
         * @throws NullPointerException if a value is missing
         */
        public DistributionEngine build() {
            return new DistributionEngine(
                    new EngineContext(
                            mSelf,
                            mIncarnation,
                            mTicker,
                            mRandom,
                            mSettings,
                            mOutbox,
                            mListener,
                            mTopologyFactory));
        }
    }
}
