package org.foxtailmoor.node.control;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.Ticker;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import org.foxtailmoor.core.distribution.ControlOutbox;
import org.foxtailmoor.protocol.generated.ControlHello;
import org.foxtailmoor.protocol.generated.ControlMessage;

/**
 * Manages the control connections to peers and sends messages over them. Confined to the control
 * loop.
 *
 * <p>The first message to a peer opens a connection; when the limit is exceeded, the least recently
 * used connection is closed. Messages to an unreachable peer are dropped, because the periodic
 * exchange between peers makes up for every lost message.
 */
final class PeerConnections implements ControlOutbox, ControlChannelHandler.Listener {
    /** Receives the events of all peers on the control loop. */
    interface Listener {
        /** Called with each message from a peer. */
        void onMessage(String peerId, ControlMessage message);

        /** Called when the last connection to a peer was closed or could not be opened. */
        void onDisconnected(String peerId);
    }

    private static final int MAX_OUTBOUND_CONNECTIONS = 32;
    private static final int MAX_INBOUND_CONNECTIONS = 128;

    /** Limit for each connection that is still being opened. */
    private static final int MAX_PENDING_MESSAGES = 32;

    private static final int CONNECT_TIMEOUT_MILLISECONDS = 1_000;

    private final EventLoopGroup mLoop;
    private final Ticker mTicker;
    private final ControlPipelineConfigurer mPipelineConfigurer;
    private final PeerAddresses mAddresses;
    private final ControlHello mHello;
    private final String mOwnRegion;
    private final Listener mListener;
    private final Map<String, OutboundConnection> mOutbound = new LinkedHashMap<>(16, 0.75f, true);
    private final Map<String, Channel> mInbound = new LinkedHashMap<>(16, 0.75f, true);

    /**
     * Creates an instance without connections.
     *
     * @param loop control loop
     * @param ticker clock
     * @param pipelineConfigurer configures the pipelines of new channels
     * @param addresses looks up the addresses and regions of peers
     * @param hello first message on each outbound connection; identifies this node
     * @param region region of this node
     * @param listener receives the events
     */
    PeerConnections(
            EventLoopGroup loop,
            Ticker ticker,
            ControlPipelineConfigurer pipelineConfigurer,
            PeerAddresses addresses,
            ControlHello hello,
            String region,
            Listener listener) {
        mLoop = loop;
        mTicker = ticker;
        mPipelineConfigurer = pipelineConfigurer;
        mAddresses = addresses;
        mHello = hello;
        mOwnRegion = region;
        mListener = listener;
    }

    @Override
    public void send(String peerId, ControlMessage message) {
        OutboundConnection outbound = mOutbound.get(peerId);
        if (outbound != null) {
            outbound.send(message);
            return;
        }
        Channel inbound = mInbound.get(peerId);
        if (inbound != null && inbound.isActive()) {
            inbound.writeAndFlush(message);
            return;
        }
        Optional<InetSocketAddress> address = mAddresses.addressOf(peerId);
        if (address.isPresent()) {
            open(peerId, address.get()).send(message);
        }
    }

    /** Closes the connections to a peer; the next message to it opens a new one. */
    @Override
    public void close(String peerId) {
        OutboundConnection outbound = mOutbound.get(peerId);
        if (outbound != null) {
            outbound.mChannel.close();
        }
        Channel inbound = mInbound.get(peerId);
        if (inbound != null) {
            inbound.close();
        }
    }

    /** Configures a channel that the control port has accepted. */
    void accept(Channel channel) {
        mPipelineConfigurer.configure(channel, new ControlChannelHandler(mTicker, this, null));
    }

    /** Closes the connections of unresponsive peers. Must be called on each control tick. */
    void closeUnresponsive() {
        List<Channel> unresponsive = new ArrayList<>();
        mOutbound
                .values()
                .forEach(connection -> addIfUnresponsive(connection.mChannel, unresponsive));
        mInbound.values().forEach(channel -> addIfUnresponsive(channel, unresponsive));
        unresponsive.forEach(Channel::close);
    }

    /** Closes all connections after the messages written to them have been sent. */
    void close() {
        List<Channel> channels = new ArrayList<>(mInbound.values());
        mOutbound.values().forEach(connection -> channels.add(connection.mChannel));
        channels.forEach(Channel::close);
    }

    @Override
    public void onHello(ChannelHandlerContext context, String peerId) {
        setCrossRegionAttribute(context.channel(), peerId);
        Channel previous = mInbound.put(peerId, context.channel());
        if (previous != null && previous != context.channel()) {
            previous.close();
        }
        closeLeastRecentlyUsed(mInbound, MAX_INBOUND_CONNECTIONS);
    }

    @Override
    public void onMessage(String peerId, ControlMessage message) {
        mListener.onMessage(peerId, message);
    }

    @Override
    public void onClosed(ChannelHandlerContext context, String peerId) {
        if (peerId == null) {
            return;
        }
        mInbound.remove(peerId, context.channel());
        OutboundConnection outbound = mOutbound.get(peerId);
        if (outbound != null && outbound.mChannel == context.channel()) {
            mOutbound.remove(peerId);
        }
        if (!mOutbound.containsKey(peerId) && !mInbound.containsKey(peerId)) {
            mListener.onDisconnected(peerId);
        }
    }

    private OutboundConnection open(String peerId, InetSocketAddress address) {
        ControlChannelHandler handler = new ControlChannelHandler(mTicker, this, peerId);
        Bootstrap bootstrap =
                new Bootstrap()
                        .group(mLoop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLISECONDS)
                        .handler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        setCrossRegionAttribute(channel, peerId);
                                        mPipelineConfigurer.configure(channel, handler);
                                    }
                                });
        ChannelFuture connecting = bootstrap.connect(address);
        OutboundConnection connection = new OutboundConnection(connecting.channel());
        connection.send(ControlMessage.newBuilder().setHello(mHello).build());
        mOutbound.put(peerId, connection);
        closeLeastRecentlyUsedOutbound();
        connecting.addListener(
                future -> {
                    if (future.isSuccess()) {
                        connection.onConnected();
                    } else if (mOutbound.remove(peerId, connection)) {
                        mListener.onDisconnected(peerId);
                    }
                });
        return connection;
    }

    private void closeLeastRecentlyUsedOutbound() {
        if (mOutbound.size() > MAX_OUTBOUND_CONNECTIONS) {
            mOutbound.values().iterator().next().mChannel.close();
        }
    }

    private static void closeLeastRecentlyUsed(Map<String, Channel> channels, int maximum) {
        if (channels.size() > maximum) {
            Iterator<Channel> leastRecentlyUsed = channels.values().iterator();
            leastRecentlyUsed.next().close();
        }
    }

    private void setCrossRegionAttribute(Channel channel, String peerId) {
        String region = mAddresses.regionOf(peerId);
        boolean crossRegion = !region.isEmpty() && !region.equals(mOwnRegion);
        channel.attr(ControlTrafficCounter.CROSS_REGION).set(crossRegion);
    }

    private static void addIfUnresponsive(Channel channel, List<Channel> unresponsive) {
        ControlChannelHandler handler = channel.pipeline().get(ControlChannelHandler.class);
        if (handler != null && handler.isUnresponsive()) {
            unresponsive.add(channel);
        }
    }

    private static final class OutboundConnection {
        private final Channel mChannel;
        private final Queue<ControlMessage> mPendingMessages = new ArrayDeque<>();
        private boolean mConnected;

        OutboundConnection(Channel channel) {
            mChannel = channel;
        }

        void send(ControlMessage message) {
            if (mConnected) {
                mChannel.writeAndFlush(message);
            } else if (mPendingMessages.size() < MAX_PENDING_MESSAGES) {
                mPendingMessages.add(message);
            }
        }

        void onConnected() {
            mConnected = true;
            for (ControlMessage message : mPendingMessages) {
                mChannel.write(message);
            }
            mPendingMessages.clear();
            mChannel.flush();
        }
    }
}
