package org.foxtailmoor.node.data;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Ticker;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.foxtailmoor.core.admission.BodyMemory;
import org.foxtailmoor.core.routing.Upstream;
import org.foxtailmoor.core.routing.UpstreamTable;
import org.foxtailmoor.protocol.generated.RequestStart;

/** Holds the links from this entry to other nodes and opens them when they are needed. */
final class Links {
    private final EventLoop mLoop;
    private final String mInstanceId;
    private final long mIncarnation;
    private final BodyMemory mMemory;
    private final Ticker mTicker;
    private final UpstreamTable mUpstreams;
    private final Map<String, Peer> mPeers = new HashMap<>();
    private final List<Peer> mRetired = new ArrayList<>();
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
     * @param upstream destination
     * @param start what to send
     * @param body whole body; owned by the link from now on
     * @param listener is told the outcome unless the attempt is cancelled
     * @return cancellation of the attempt
     */
    Cancellable send(
            Upstream upstream, RequestStart start, HeldBody body, AttemptListener listener) {
        Peer peer = mPeers.get(upstream.id());
        if (peer == null || !peer.isAt(upstream)) {
            if (peer != null) {
                peer.retire();
                mRetired.add(peer);
            }
            peer = new Peer(this, upstream);
            mPeers.put(upstream.id(), peer);
        }
        return peer.send(start, body, listener);
    }

    /** Runs the systems over all links: pings, silence, overtaking and closing of idle links. */
    void tick() {
        for (Peer peer : new ArrayList<>(mPeers.values())) {
            peer.tick();
            if (peer.isUnused()) {
                mPeers.remove(peer.upstream().id(), peer);
            }
        }
        mRetired.forEach(Peer::tick);
        mRetired.removeIf(Peer::isUnused);
    }

    /** Returns the number of peers with a link or an attempt to open one. */
    int peers() {
        return mPeers.size();
    }

    /** Returns whether no link is opened any more without a request that needs it. */
    boolean isClosing() {
        return mClosing;
    }

    /** Closes every link; open requests fail. */
    void close() {
        mClosing = true;
        new ArrayList<>(mPeers.values()).forEach(Peer::close);
        mRetired.forEach(Peer::close);
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

    void greet(Link link) {
        link.start(mInstanceId, mIncarnation);
    }
}
