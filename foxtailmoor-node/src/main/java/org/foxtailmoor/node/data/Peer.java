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
import org.foxtailmoor.protocol.generated.Load;
import org.foxtailmoor.protocol.generated.RequestStart;

/**
 * The entry's links to one upstream: the current one, and while the current one does not answer, a
 * newer one that may overtake it.
 */
final class Peer implements Link.Listener {
    /** Time without an answer to a ping after which a link is doubted. */
    static final long OVERTAKING_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(400);

    /** A link without requests for this long is closed, so that pings go only to links in use. */
    static final long IDLE_NANOSECONDS = TimeUnit.SECONDS.toNanos(30);

    /** A peer whose machine is gone does not answer; waiting work is placed elsewhere after it. */
    private static final int CONNECT_TIMEOUT_MILLISECONDS = 400;

    /** Interval in which a failed link is tried again without a request that needs it. */
    private static final long PROBE_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(700);

    /** A peer that was not reached for this long is tried again only for a request. */
    private static final long PROBING_NANOSECONDS = TimeUnit.SECONDS.toNanos(20);

    private static final int MAXIMUM_WAITING = 1_024;

    /** A request that waits for the link to open. */
    private static final class Waiting {
        private final RequestStart mStart;
        private final HeldBody mBody;
        private final AttemptListener mListener;
        private Cancellable mCancellation;

        Waiting(RequestStart start, HeldBody body, AttemptListener listener) {
            mStart = start;
            mBody = body;
            mListener = listener;
        }
    }

    private final Links mLinks;
    private final Upstream mUpstream;
    private final ArrayDeque<Waiting> mWaiting = new ArrayDeque<>();
    private final Set<Link> mOpen = new LinkedHashSet<>();
    private Link mCurrent;
    private Link mChallenger;
    private boolean mConnecting;
    private boolean mRetired;
    private boolean mLeaving;
    private boolean mFailed;
    private long mFailedNanoseconds;
    private long mProbedNanoseconds;
    private long mUsedNanoseconds;

    Peer(Links links, Upstream upstream) {
        mLinks = links;
        mUpstream = upstream;
        mUsedNanoseconds = links.ticker().nanoTime();
    }

    Upstream upstream() {
        return mUpstream;
    }

    /** Returns whether the peer has the address of an upstream. */
    boolean isAt(Upstream upstream) {
        return mUpstream.address().equals(upstream.address())
                && mUpstream.nodePort() == upstream.nodePort();
    }

    /** Returns whether there is neither a link nor an attempt to open one. */
    boolean isUnused() {
        return mOpen.isEmpty() && !mConnecting && !isProbing();
    }

    /** Sends a request over the current link, or when the link is open. */
    Cancellable send(RequestStart start, HeldBody body, AttemptListener listener) {
        mUsedNanoseconds = mLinks.ticker().nanoTime();
        Link preferred = preferred();
        if (preferred != null && preferred.hasRoom()) {
            return preferred.open(start, body, listener);
        }
        if (preferred != null || mWaiting.size() >= MAXIMUM_WAITING) {
            body.release();
            mLinks.loop().execute(() -> listener.onLost(false));
            return Cancellable.NONE;
        }
        Waiting waiting = new Waiting(start, body, listener);
        waiting.mCancellation = () -> forget(waiting);
        mWaiting.addLast(waiting);
        if (!mConnecting) {
            connect();
        }
        return () -> waiting.mCancellation.cancel();
    }

    /** Runs the systems over the peer's links. */
    void tick() {
        new ArrayList<>(mOpen).forEach(Link::tick);
        if (mCurrent != null && isIdle(mCurrent)) {
            mCurrent.close();
        } else if (mCurrent != null) {
            overtake();
        }
        closeDrained();
        if (mCurrent == null && !mConnecting && isProbing() && isProbeDue()) {
            connect();
        }
    }

    /** Lets the links end after their open requests; used when the upstream has moved. */
    void retire() {
        mRetired = true;
        mCurrent = null;
        mChallenger = null;
        closeDrained();
    }

    /** Closes every link. */
    void close() {
        new ArrayList<>(mOpen).forEach(Link::close);
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
    public void onClosed(Link link, boolean failed) {
        mOpen.remove(link);
        if (link == mChallenger) {
            mChallenger = null;
        }
        if (link == mCurrent) {
            mCurrent = mChallenger;
            mChallenger = null;
            if (failed && mCurrent == null) {
                markFailed();
            }
            mLinks.upstreams().setLinkState(mUpstream.id(), stateAfter(failed));
        }
    }

    private void markFailed() {
        if (!mFailed) {
            mFailed = true;
            mFailedNanoseconds = mLinks.ticker().nanoTime();
        }
    }

    private boolean isProbing() {
        return mFailed
                && !mRetired
                && !mLinks.isClosing()
                && mLinks.ticker().nanoTime() - mFailedNanoseconds < PROBING_NANOSECONDS;
    }

    private boolean isProbeDue() {
        return mLinks.ticker().nanoTime() - mProbedNanoseconds >= PROBE_NANOSECONDS;
    }

    private LinkState stateAfter(boolean failed) {
        if (mCurrent != null) {
            return LinkState.OPEN;
        }
        return failed ? LinkState.FAILED : LinkState.UNOPENED;
    }

    private Link preferred() {
        boolean overtaken =
                mChallenger != null && mChallenger.hasAnswered() && mCurrent.isUnansweredFor(0);
        return overtaken ? mChallenger : mCurrent;
    }

    private boolean isIdle(Link link) {
        if (link.openStreams() > 0) {
            return false;
        }
        return mLeaving || mLinks.ticker().nanoTime() - mUsedNanoseconds >= IDLE_NANOSECONDS;
    }

    /** Replaces a link that has stopped to answer while a newer one answers. */
    private void overtake() {
        if (mChallenger == null) {
            boolean doubtful = mCurrent.isUnansweredFor(OVERTAKING_NANOSECONDS);
            if (doubtful && !mConnecting && isProbeDue()) {
                connect();
            }
            mLinks.upstreams()
                    .setLinkState(mUpstream.id(), doubtful ? LinkState.DOUBTFUL : LinkState.OPEN);
            return;
        }
        if (!mCurrent.isUnansweredFor(0)) {
            mChallenger = null;
        } else if (mChallenger.hasAnswered() && mCurrent.isUnansweredFor(OVERTAKING_NANOSECONDS)) {
            mCurrent.close();
        }
    }

    /** Closes links that are not current any more and carry no request. */
    private void closeDrained() {
        for (Link link : new ArrayList<>(mOpen)) {
            if (link != mCurrent && link != mChallenger && link.openStreams() == 0) {
                link.close();
            }
        }
    }

    private void connect() {
        mConnecting = true;
        mProbedNanoseconds = mLinks.ticker().nanoTime();
        new Bootstrap()
                .group(mLinks.loop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLISECONDS)
                .handler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                prepare(channel);
                            }
                        })
                .connect(new InetSocketAddress(mUpstream.address(), mUpstream.nodePort()))
                .addListener((ChannelFuture future) -> onConnected(future));
    }

    private void prepare(SocketChannel channel) {
        Frames.addHandlers(channel.pipeline());
        channel.pipeline().addLast(new Link(channel, mLinks.memory(), mLinks.ticker(), this));
    }

    private void onConnected(ChannelFuture future) {
        mConnecting = false;
        if (!future.isSuccess()) {
            if (mCurrent == null) {
                markFailed();
                mLinks.upstreams().setLinkState(mUpstream.id(), LinkState.FAILED);
            }
            failWaiting();
            return;
        }
        Link link = future.channel().pipeline().get(Link.class);
        if (link == null || !future.channel().isActive()) {
            failWaiting();
            return;
        }
        mOpen.add(link);
        mFailed = false;
        mLinks.greet(link);
        if (mCurrent == null && !mRetired) {
            mCurrent = link;
            mLinks.upstreams().setLinkState(mUpstream.id(), LinkState.OPEN);
        } else if (!mRetired) {
            mChallenger = link;
            mCurrent.sendPing();
        }
        sendWaiting(link);
    }

    private void sendWaiting(Link link) {
        while (!mWaiting.isEmpty()) {
            Waiting waiting = mWaiting.removeFirst();
            waiting.mCancellation = link.open(waiting.mStart, waiting.mBody, waiting.mListener);
        }
    }

    private void failWaiting() {
        ArrayList<Waiting> lost = new ArrayList<>(mWaiting);
        mWaiting.clear();
        for (Waiting waiting : lost) {
            waiting.mBody.release();
            waiting.mCancellation = Cancellable.NONE;
            waiting.mListener.onLost(false);
        }
    }

    private void forget(Waiting waiting) {
        if (mWaiting.remove(waiting)) {
            waiting.mBody.release();
        }
    }
}
