package org.foxtailmoor.node.data;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.util.concurrent.Ticker;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.foxtailmoor.core.admission.BodyMemory;
import org.foxtailmoor.core.admission.BodyTransfers;
import org.foxtailmoor.core.admission.OutgoingBodies;
import org.foxtailmoor.core.routing.ResponseSizeEstimator;
import org.foxtailmoor.core.routing.RoutingSnapshot;
import org.foxtailmoor.protocol.generated.CrashExchange;
import org.foxtailmoor.protocol.generated.Load;

/** Accepts links from other nodes on the node port. */
final class LinkServer {
    private static final int MAX_LINKS = 8_192;

    private final String mInstanceId;
    private final long mIncarnation;
    private final Home mHome;
    private final BodyMemory mMemory;
    private final Ticker mTicker;
    private final BodyTransfers mTransfers;
    private final OutgoingBodies mOutgoing;
    private final ResponseSizeEstimator mResponseSizes = new ResponseSizeEstimator();
    private final Set<LinkServerHandler> mLinks = new LinkedHashSet<>();
    private UnaryOperator<CrashExchange> mCrashExchange = message -> null;
    private ListeningPort mPort;
    private boolean mStopped;

    LinkServer(
            String instanceId,
            long incarnation,
            Home home,
            BodyMemory memory,
            Ticker ticker,
            BodyTransfers transfers,
            OutgoingBodies outgoing) {
        mInstanceId = instanceId;
        mIncarnation = incarnation;
        mHome = home;
        mMemory = memory;
        mTicker = ticker;
        mTransfers = transfers;
        mOutgoing = outgoing;
    }

    /**
     * Starts listening; the channel of the returned future has the bound address. May be called
     * again after a failure.
     */
    ChannelFuture bind(EventLoopGroup group, InetSocketAddress address) {
        mPort = new ListeningPort(this::accept);
        return mPort.bind(group, address);
    }

    String instanceId() {
        return mInstanceId;
    }

    long incarnation() {
        return mIncarnation;
    }

    /** Returns the long bodies that are being received over all links. */
    BodyTransfers transfers() {
        return mTransfers;
    }

    /** Returns the long bodies that are being sent over all links. */
    OutgoingBodies outgoing() {
        return mOutgoing;
    }

    /** Returns the sizes of the responses of this home, by route. */
    ResponseSizeEstimator responseSizes() {
        return mResponseSizes;
    }

    /** Forgets what is known of routes that the snapshot does not have. */
    void update(RoutingSnapshot snapshot) {
        mResponseSizes.retain(snapshot);
    }

    /** Returns the load of the target and of the machine's link. */
    Load load() {
        Load load = mHome.load();
        long waitNanoseconds =
                Math.max(mTransfers.expectedNanoseconds(0), mOutgoing.expectedNanoseconds(0));
        long wait = TimeUnit.NANOSECONDS.toMillis(waitNanoseconds);
        return wait == 0
                ? load
                : load.toBuilder()
                        .setBodyWaitMilliseconds((int) Math.min(Integer.MAX_VALUE, wait))
                        .build();
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

    int openLinks() {
        return mLinks.size();
    }

    /** Closes links whose receive timeout has expired. */
    void tick() {
        new ArrayList<>(mLinks).forEach(LinkServerHandler::tick);
        mTransfers.tick();
    }

    /** Sends the load to every peer without waiting for their pings. */
    void sendLoad() {
        mLinks.forEach(LinkServerHandler::sendLoad);
    }

    /** Notifies every peer that this upstream is leaving. */
    void sendGoingAway() {
        mLinks.forEach(LinkServerHandler::sendGoingAway);
    }

    /** Refuses requests that are still arriving, because the target is leaving. */
    void refuseIncompleteRequests() {
        mLinks.forEach(LinkServerHandler::refuseIncompleteRequests);
    }

    /** Returns whether no link has an open request. */
    boolean isIdle() {
        return mLinks.stream().allMatch(LinkServerHandler::isIdle);
    }

    /** Closes every link immediately. */
    void closeLinks() {
        new ArrayList<>(mLinks).forEach(LinkServerHandler::close);
    }

    /** Returns whether {@link #stop} was called. */
    boolean isStopped() {
        return mStopped;
    }

    /** Stops listening if the server has started to. */
    void stop() {
        mStopped = true;
        if (mPort != null) {
            mPort.stop();
        }
    }

    void onOpened(LinkServerHandler link) {
        mLinks.add(link);
    }

    void onClosed(LinkServerHandler link) {
        mLinks.remove(link);
    }

    private void accept(SocketChannel channel) {
        if (mLinks.size() >= MAX_LINKS) {
            channel.close();
            return;
        }
        Frames.addHandlers(channel.pipeline());
        channel.pipeline().addLast(new LinkServerHandler(channel, mHome, mMemory, mTicker, this));
    }
}
