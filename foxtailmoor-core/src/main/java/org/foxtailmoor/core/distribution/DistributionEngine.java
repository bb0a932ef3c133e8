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
 * Synchronizes the documents of one node with the fleet. It pushes, fetches and exchanges versions
 * with peers, and decides whether the node reads the configuration service.
 *
 * <p>This class is not thread-safe; all methods must be called on the control loop. The engine
 * performs no I/O and reads the time only from its ticker.
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
    /** Sender name of documents that were read from the configuration service. */
    public static final String FROM_SOURCE = "source";

    private final EngineContext mContext;
    private final DistributionState mState;
    private final UpdatePropagator mPropagator;
    private final UpdateHandler mUpdates;
    private final PeerExchange mExchange;
    private final StartupCoordinator mStartup;
    private final SourceReadScheduler mSourceReads;
    private final LeaseManager mLease;
    private final CrashReportBroadcaster mCrashReports;
    private final AdvertReceiver mReceiver;

    private DistributionEngine(EngineContext context) {
        mContext = context;
        mState = new DistributionState(context);
        CrashReportTable reports = new CrashReportTable();
        AdvertSender adverts = new AdvertSender(context, mState, reports);
        mPropagator = new UpdatePropagator(context, mState, adverts);
        mUpdates = new UpdateHandler(context, mState, mPropagator, this::documentChanged);
        mExchange = new PeerExchange(context, mState, adverts);
        mStartup = new StartupCoordinator(context, mState, adverts);
        mSourceReads = new SourceReadScheduler(context, mState, mStartup, mUpdates);
        mLease = new LeaseManager(context, mState, adverts);
        mCrashReports = new CrashReportBroadcaster(context, mState, reports, adverts);
        mReceiver = new AdvertReceiver(context, mState, adverts, mStartup, mLease, mCrashReports);
    }

    /** Returns a builder in which only the settings have defaults. */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Adds a peer that is known only by address and is queried until an instance list is available.
     * Once the seed answers, its adverts supply its instance id.
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
        mState.peers()
                .touch(mState.instanceIdOf(peerId), mContext.now())
                .recordMessage(mContext.now());
        switch (message.getKindCase()) {
            case ADVERT -> mReceiver.receive(peerId, message.getAdvert());
            case UPDATE -> mUpdates.handleUpdate(peerId, message.getUpdate());
            case FETCH -> mUpdates.handleFetch(peerId, message.getFetch());
            case BUSY -> mUpdates.handleBusy(message.getBusy());
            default -> {
                // Kinds added by later versions of the protocol are ignored.
            }
        }
    }

    /** Records that a connection to or from a peer is open. */
    public void onPeerConnected(String peerId) {
        mState.peers().touch(mState.instanceIdOf(peerId), mContext.now()).setConnected(true);
    }

    /** Records that the connection to a peer was closed or could not be opened. */
    public void onPeerDisconnected(String peerId) {
        Peer peer = mState.peers().find(mState.instanceIdOf(peerId));
        if (peer != null) {
            peer.setConnected(false);
        }
    }

    /**
     * Returns how to use the configuration service for a topic now. Each {@link SourceRole#POLL}
     * takes one token from the call budget and permits one read. Call this method about every 100
     * ms.
     */
    public SourceRole sourceRole(Topic topic) {
        return mSourceReads.role(topic);
    }

    /**
     * Handles a complete document that was read from the source.
     *
     * @param topic topic of the document
     * @param document document as read, not null
     */
    public void onSourceRead(Topic topic, Document document) {
        mSourceReads.handleRead(topic, document);
    }

    /** Records that the source answered and has nothing newer than the last read. */
    public void onSourceUnchanged(Topic topic) {
        mSourceReads.handleUnchanged(topic);
    }

    /** Records that the source did not answer, or answered with an incomplete document. */
    public void onSourceFailed(Topic topic) {
        mSourceReads.handleFailure(topic);
    }

    /** Returns the current document, {@link Document#EMPTY} before the first. */
    public Document document(Topic topic) {
        return mState.topic(topic).document();
    }

    /** Returns an unmodifiable list of the instances in the current instance list, sorted by id. */
    public List<Instance> instances() {
        return mState.fleet().instances();
    }

    /** Runs the tasks that are due. Call this method every 100 ms. */
    public void onTick() {
        mStartup.onTick();
        mUpdates.onTick();
        mExchange.onTick();
        mLease.onTick();
        mCrashReports.onTick();
    }

    /** Returns whether startup has finished and the node may serve. Once true, it stays true. */
    public boolean isReady() {
        return mState.isReady();
    }

    /** Returns the view lease of the node's own service. */
    public ViewLease viewLease() {
        return mLease.lease();
    }

    /**
     * Tells peers that the node is leaving, and sends its tree children the updates that they lack.
     */
    public void startLeaving() {
        if (!mState.isLeaving()) {
            mState.setLeaving();
            mPropagator.announceLeaving();
        }
    }

    /**
     * Distributes a crash count of the node's own service.
     *
     * @param report report, not null; replaces an earlier one with the same fingerprint
     */
    public void reportCrash(CrashReport report) {
        mCrashReports.report(report);
    }

    /** Returns a snapshot of the current state. */
    public DistributionStatus status() {
        return StatusBuilder.build(mState, mContext.now());
    }

    private void documentChanged(Topic topic) {
        if (topic == Topic.TOPIC_INSTANCES) {
            mSourceReads.onFleetChanged();
        }
        mLease.onDocumentsChanged();
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

        /** Sets the node's own instance, which need not be in the instance list yet. */
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

        /** Sets the outbox for messages to peers. */
        public Builder outbox(ControlOutbox outbox) {
            mOutbox = outbox;
            return this;
        }

        /** Sets the listener for documents and crash reports. */
        public Builder listener(DocumentListener listener) {
            mListener = listener;
            return this;
        }

        /**
         * Sets the factory that computes the topology of an instance list. Simulations use it to
         * share one topology among many engines.
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
