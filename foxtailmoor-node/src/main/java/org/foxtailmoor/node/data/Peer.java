package org.foxtailmoor.node.data;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.core.routing.LinkState;
import org.foxtailmoor.core.routing.Upstream;
import org.foxtailmoor.protocol.generated.CrashExchange;
import org.foxtailmoor.protocol.generated.Load;
import org.foxtailmoor.protocol.generated.RequestMessage;
import org.foxtailmoor.protocol.generated.RequestStart;

/**
 * Links from this node to one upstream: the current one and, while that one does not answer, a
 * replacement.
 */
final class Peer implements Link.Listener {
    /** Time without an answer to a ping after which a replacement link is opened. */
    static final long PING_TIMEOUT_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(400);

    /** A link without requests for this long is closed, so that only links in use are pinged. */
    static final long IDLE_TIMEOUT_NANOSECONDS = TimeUnit.SECONDS.toNanos(30);

    /** Bounds the wait for an instance that is down; pending requests are then sent elsewhere. */
    static final int CONNECT_TIMEOUT_MILLISECONDS = 400;

    /** Interval at which a failed peer is probed with connection attempts, without a request. */
    static final long PROBE_INTERVAL_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(700);

    /** A link that was opened for a message is closed after this time without requests. */
    private static final long MESSAGE_IDLE_TIMEOUT_NANOSECONDS = TimeUnit.SECONDS.toNanos(2);

    private static final int MAX_PENDING_REQUESTS = 1_024;
    private static final int MAX_PENDING_MESSAGES = 16;

    /** A request that waits for the link to be established. */
    private final class PendingRequest implements Cancellable {
        private final RequestStart mStart;
        private final BufferedBody mBody;
        private final AttemptListener mListener;
        private Cancellable mSent;

        PendingRequest(RequestStart start, BufferedBody body, AttemptListener listener) {
            mStart = start;
            mBody = body;
            mListener = listener;
        }

        @Override
        public void cancel() {
            if (mSent == null) {
                removePending(this);
            } else {
                mSent.cancel();
            }
        }

        @Override
        public boolean isUnsent() {
            return mSent == null || mSent.isUnsent();
        }
    }

    private final Links mLinks;
    private final Upstream mUpstream;
    private final ArrayDeque<PendingRequest> mPendingRequests = new ArrayDeque<>();
    private final ArrayDeque<RequestMessage> mPendingMessages = new ArrayDeque<>();
    private final Set<Link> mOpenLinks = new LinkedHashSet<>();
    private Link mCurrentLink;
    private Link mReplacementLink;
    private boolean mConnecting;
    private boolean mRetired;
    private boolean mLeaving;
    private boolean mFailed;
    private long mLastConnectNanoseconds;
    private long mLastUsedNanoseconds;

    Peer(Links links, Upstream upstream) {
        mLinks = links;
        mUpstream = upstream;
        mLastUsedNanoseconds = links.ticker().nanoTime();
    }

    Upstream upstream() {
        return mUpstream;
    }

    /** Returns whether the peer has the address and node port of an upstream. */
    boolean hasAddressOf(Upstream upstream) {
        return mUpstream.address().equals(upstream.address())
                && mUpstream.nodePort() == upstream.nodePort();
    }

    /** Returns whether the peer has no link, no connection attempt in progress and no probing. */
    boolean isUnused() {
        return mOpenLinks.isEmpty() && !mConnecting && !isProbing();
    }

    /** Sends a request, immediately if a link is open, otherwise once it is established. */
    Cancellable send(RequestStart start, BufferedBody body, AttemptListener listener) {
        mLastUsedNanoseconds = mLinks.ticker().nanoTime();
        Link link = selectLink();
        if (link != null && link.canOpenStream()) {
            return link.openStream(start, body, listener);
        }
        if (link != null || mPendingRequests.size() >= MAX_PENDING_REQUESTS) {
            body.release();
            mLinks.loop().execute(() -> listener.onLinkLost(false));
            return Cancellable.NONE;
        }
        PendingRequest pending = new PendingRequest(start, body, listener);
        mPendingRequests.addLast(pending);
        if (!mConnecting) {
            connect();
        }
        return pending;
    }

    /** Sends a message that belongs to no request, after opening a link if none is open. */
    void sendMessage(RequestMessage message) {
        Link link = selectLink();
        if (link != null) {
            link.sendMessage(message);
            return;
        }
        if (mPendingMessages.size() < MAX_PENDING_MESSAGES) {
            mPendingMessages.addLast(message);
        }
        if (!mConnecting) {
            mLastUsedNanoseconds =
                    mLinks.ticker().nanoTime()
                            - IDLE_TIMEOUT_NANOSECONDS
                            + MESSAGE_IDLE_TIMEOUT_NANOSECONDS;
            connect();
        }
    }

    /** Runs the periodic tasks of the peer's links. */
    void tick() {
        new ArrayList<>(mOpenLinks).forEach(Link::tick);
        if (mCurrentLink != null && isIdle(mCurrentLink)) {
            mCurrentLink.close();
        } else if (mCurrentLink != null) {
            replaceIfUnresponsive();
        }
        closeDrained();
        if (mCurrentLink == null && !mConnecting && isProbing() && isProbeDue()) {
            connect();
        }
    }

    /**
     * Closes the links once their open requests have ended; used when the upstream has a new
     * address.
     */
    void retire() {
        mRetired = true;
        mCurrentLink = null;
        mReplacementLink = null;
        closeDrained();
    }

    /** Closes every link. */
    void close() {
        new ArrayList<>(mOpenLinks).forEach(Link::close);
    }

    @Override
    public void onLoad(Link link, Load load) {
        mLinks.upstreams().reportLoad(mUpstream.id(), load);
    }

    @Override
    public void onRoundTrip(Link link, long nanoseconds) {
        mLinks.upstreams().reportRoundTrip(mUpstream.id(), nanoseconds);
    }

    @Override
    public void onGoingAway(Link link) {
        mLeaving = true;
        mLinks.upstreams().markLeaving(mUpstream.id());
    }

    @Override
    public void onCrashExchange(Link link, CrashExchange message) {
        CrashExchange reply = mLinks.onCrashExchange(message);
        if (reply != null) {
            link.sendMessage(Frames.crashExchange(reply));
        }
    }

    @Override
    public void onClosed(Link link, boolean failed) {
        mOpenLinks.remove(link);
        if (link == mReplacementLink) {
            mReplacementLink = null;
        }
        if (link == mCurrentLink) {
            mCurrentLink = mReplacementLink;
            mReplacementLink = null;
            if (failed && mCurrentLink == null) {
                mFailed = true;
            }
            mLinks.upstreams().setLinkState(mUpstream.id(), stateAfterClose(failed));
        }
    }

    /** Returns whether the peer has failed and is still an upstream of the instance list. */
    private boolean isProbing() {
        return mFailed
                && !mRetired
                && !mLinks.isClosing()
                && mLinks.upstreams().linkState(mUpstream.id()) == LinkState.FAILED;
    }

    private boolean isProbeDue() {
        return mLinks.ticker().nanoTime() - mLastConnectNanoseconds >= PROBE_INTERVAL_NANOSECONDS;
    }

    private LinkState stateAfterClose(boolean failed) {
        if (mCurrentLink != null) {
            return LinkState.OPEN;
        }
        return failed ? LinkState.FAILED : LinkState.UNOPENED;
    }

    private Link selectLink() {
        boolean replace =
                mReplacementLink != null
                        && mReplacementLink.hasReceivedFrame()
                        && mCurrentLink.isPingUnansweredFor(0);
        return replace ? mReplacementLink : mCurrentLink;
    }

    private boolean isIdle(Link link) {
        if (link.openStreams() > 0) {
            return false;
        }
        return mLeaving
                || mLinks.ticker().nanoTime() - mLastUsedNanoseconds >= IDLE_TIMEOUT_NANOSECONDS;
    }

    /**
     * Opens a replacement when the current link does not answer pings, and closes the current link
     * when only the replacement answers.
     */
    private void replaceIfUnresponsive() {
        if (mReplacementLink == null) {
            boolean unresponsive = mCurrentLink.isPingUnansweredFor(PING_TIMEOUT_NANOSECONDS);
            if (unresponsive && !mConnecting && isProbeDue()) {
                connect();
            }
            mLinks.upstreams()
                    .setLinkState(
                            mUpstream.id(), unresponsive ? LinkState.DOUBTFUL : LinkState.OPEN);
            return;
        }
        if (!mCurrentLink.isPingUnansweredFor(0)) {
            mReplacementLink = null;
        } else if (mReplacementLink.hasReceivedFrame()
                && mCurrentLink.isPingUnansweredFor(PING_TIMEOUT_NANOSECONDS)) {
            mCurrentLink.close();
        }
    }

    /** Closes links that are no longer in use and have no open requests. */
    private void closeDrained() {
        for (Link link : new ArrayList<>(mOpenLinks)) {
            if (link != mCurrentLink && link != mReplacementLink && link.openStreams() == 0) {
                link.close();
            }
        }
    }

    private void connect() {
        mConnecting = true;
        mLastConnectNanoseconds = mLinks.ticker().nanoTime();
        new Bootstrap()
                .group(mLinks.loop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLISECONDS)
                .handler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                initializePipeline(channel);
                            }
                        })
                .connect(new InetSocketAddress(mUpstream.address(), mUpstream.nodePort()))
                .addListener((ChannelFuture future) -> onConnected(future));
    }

    private void initializePipeline(SocketChannel channel) {
        Frames.addHandlers(channel.pipeline());
        channel.pipeline().addLast(new Link(channel, mLinks.memory(), mLinks.ticker(), this));
    }

    private void onConnected(ChannelFuture future) {
        mConnecting = false;
        if (!future.isSuccess()) {
            if (mCurrentLink == null) {
                mFailed = true;
                mLinks.upstreams().setLinkState(mUpstream.id(), LinkState.FAILED);
            }
            failPending();
            return;
        }
        Link link = future.channel().pipeline().get(Link.class);
        if (link == null || !future.channel().isActive()) {
            failPending();
            return;
        }
        mOpenLinks.add(link);
        mFailed = false;
        mLinks.start(link);
        if (mCurrentLink == null && !mRetired) {
            mCurrentLink = link;
            mLinks.upstreams().setLinkState(mUpstream.id(), LinkState.OPEN);
        } else if (!mRetired) {
            mReplacementLink = link;
            mCurrentLink.sendPing();
        }
        sendPending(link);
    }

    private void sendPending(Link link) {
        while (!mPendingRequests.isEmpty()) {
            PendingRequest pending = mPendingRequests.removeFirst();
            pending.mSent = link.openStream(pending.mStart, pending.mBody, pending.mListener);
        }
        mPendingMessages.forEach(link::sendMessage);
        mPendingMessages.clear();
    }

    private void failPending() {
        ArrayList<PendingRequest> failed = new ArrayList<>(mPendingRequests);
        mPendingRequests.clear();
        mPendingMessages.clear();
        for (PendingRequest pending : failed) {
            pending.mBody.release();
            pending.mSent = Cancellable.NONE;
            pending.mListener.onLinkLost(false);
        }
    }

    private void removePending(PendingRequest pending) {
        if (mPendingRequests.remove(pending)) {
            pending.mBody.release();
        }
    }
}
