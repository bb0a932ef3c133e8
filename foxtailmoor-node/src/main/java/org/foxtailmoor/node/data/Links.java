package org.foxtailmoor.node.data;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Ticker;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;
import org.foxtailmoor.core.admission.BodyMemory;
import org.foxtailmoor.core.routing.Upstream;
import org.foxtailmoor.core.routing.UpstreamTable;
import org.foxtailmoor.protocol.generated.CrashExchange;
import org.foxtailmoor.protocol.generated.RequestMessage;
import org.foxtailmoor.protocol.generated.RequestStart;

/** Manages the links from this node to other nodes and opens them on demand. */
final class Links {
    private final EventLoop mLoop;
    private final String mInstanceId;
    private final long mIncarnation;
    private final BodyMemory mMemory;
    private final Ticker mTicker;
    private final UpstreamTable mUpstreams;
    private final Map<String, Peer> mPeers = new HashMap<>();
    private final List<Peer> mRetiredPeers = new ArrayList<>();
    private UnaryOperator<CrashExchange> mCrashExchange = message -> null;
    private boolean mClosing;

    Links(
            EventLoop loop,
            String instanceId,
            long incarnation,
            BodyMemory memory,
            Ticker ticker,
            UpstreamTable upstreams) {
        mLoop = loop;
        mInstanceId = instanceId;
        mIncarnation = incarnation;
        mMemory = memory;
        mTicker = ticker;
        mUpstreams = upstreams;
    }

    /**
     * Sends a request to an upstream.
     *
     * @param upstream destination upstream
     * @param start start frame content
     * @param body complete body; ownership passes to the link
     * @param listener receives the outcome unless the attempt is cancelled
     * @return handle to cancel the attempt
     */
    Cancellable send(
            Upstream upstream, RequestStart start, BufferedBody body, AttemptListener listener) {
        return peerOf(upstream).send(start, body, listener);
    }

    /** Sends a message that belongs to no request. It is lost if the upstream is not reachable. */
    void sendMessage(Upstream upstream, RequestMessage message) {
        if (!mClosing) {
            peerOf(upstream).sendMessage(message);
        }
    }

    /**
     * Sets the function that handles crash counts from other nodes and returns the reply or null.
     */
    void setCrashExchange(UnaryOperator<CrashExchange> crashExchange) {
        mCrashExchange = crashExchange;
    }

    /** Handles crash counts from another node, and returns the reply or null. */
    CrashExchange onCrashExchange(CrashExchange message) {
        return mCrashExchange.apply(message);
    }

    private Peer peerOf(Upstream upstream) {
        Peer peer = mPeers.get(upstream.id());
        if (peer == null || !peer.hasAddressOf(upstream)) {
            if (peer != null) {
                peer.retire();
                mRetiredPeers.add(peer);
            }
            peer = new Peer(this, upstream);
            mPeers.put(upstream.id(), peer);
        }
        return peer;
    }

    /**
     * Runs the periodic tasks of all links: pings, receive timeouts, replacement of unresponsive
     * links and closing of idle ones.
     */
    void tick() {
        for (Peer peer : new ArrayList<>(mPeers.values())) {
            peer.tick();
            if (peer.isUnused()) {
                mPeers.remove(peer.upstream().id(), peer);
            }
        }
        mRetiredPeers.forEach(Peer::tick);
        mRetiredPeers.removeIf(Peer::isUnused);
    }

    /** Returns the number of current peers, without retired ones. */
    int peerCount() {
        return mPeers.size();
    }

    /**
     * Returns whether the links are being closed, in which case failed peers are no longer probed.
     */
    boolean isClosing() {
        return mClosing;
    }

    /** Closes every link, failing open requests. */
    void close() {
        mClosing = true;
        new ArrayList<>(mPeers.values()).forEach(Peer::close);
        mRetiredPeers.forEach(Peer::close);
    }

    EventLoop loop() {
        return mLoop;
    }

    Ticker ticker() {
        return mTicker;
    }

    BodyMemory memory() {
        return mMemory;
    }

    UpstreamTable upstreams() {
        return mUpstreams;
    }

    void start(Link link) {
        link.start(mInstanceId, mIncarnation);
    }
}
