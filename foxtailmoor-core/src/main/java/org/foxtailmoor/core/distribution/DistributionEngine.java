package org.foxtailmoor.core.distribution;

import io.netty.util.concurrent.Ticker;
import java.util.List;
import java.util.Objects;
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

    private final Instance mSelf;

    private DistributionEngine(Builder builder) {
        mSelf = Objects.requireNonNull(builder.mSelf, "self");
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
    public void addSeed(String peerId) {}

    /**
     * Handles a message of a peer.
     *
     * @param peerId id of the peer, as given to the outbox or as stated by the peer
     * @param message message, not null
     */
    public void onMessage(String peerId, ControlMessage message) {}

    /** Takes notice that a connection to or from a peer is open. */
    public void onPeerConnected(String peerId) {}

    /** Takes notice that the connection to a peer has ended or could not be opened. */
    public void onPeerDisconnected(String peerId) {}

    /**
     * Returns how to use the configuration service for a topic now. {@link SourceRole#POLL} is
     * answered once per takeover token; the caller then reads once. Ask about every 100 ms.
     */
    public SourceRole sourceRole(Topic topic) {
        return SourceRole.NONE;
    }

    /**
     * Takes a whole document that was read from the source.
     *
     * @param topic topic of the document
     * @param document document as read, not null
     */
    public void onSourceRead(Topic topic, Document document) {}

    /** Takes notice that the source answered and has nothing newer than the last read. */
    public void onSourceUnchanged(Topic topic) {}

    /** Takes notice that the source did not answer, or not with a whole document. */
    public void onSourceFailed(Topic topic) {}

    /** Returns the document in force, {@link Document#EMPTY} before the first. */
    public Document document(Topic topic) {
        return Document.EMPTY;
    }

    /** Returns the instances of the list in force sorted by id, unmodifiable. */
    public List<Instance> instances() {
        return List.of();
    }

    /** Runs what is due. Call it every 100 ms. */
    public void onTick() {}

    /** Returns whether the start has finished, so that the node may serve. Stays true. */
    public boolean isReady() {
        return false;
    }

    /** Returns the lease of the node's own service. */
    public ViewLease viewLease() {
        return ViewLease.NONE;
    }

    /** Tells peers that the node is leaving, and hands its tree children what they lack. */
    public void startLeaving() {}

    /**
     * Spreads a crash count of the node's own service.
     *
     * @param report report, not null; replaces an earlier one with the same fingerprint
     */
    public void reportCrash(CrashReport report) {}

    /** Returns the state at this moment. */
    public DistributionStatus status() {
        return new DistributionStatus(false, false, List.of(), List.of());
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
         * Returns the engine.
         *
         * @throws NullPointerException if a value is missing
         */
        public DistributionEngine build() {
            Objects.requireNonNull(mTicker, "ticker");
            Objects.requireNonNull(mRandom, "random");
            Objects.requireNonNull(mSettings, "settings");
            Objects.requireNonNull(mOutbox, "outbox");
            Objects.requireNonNull(mListener, "listener");
            return new DistributionEngine(this);
        }
    }
}
