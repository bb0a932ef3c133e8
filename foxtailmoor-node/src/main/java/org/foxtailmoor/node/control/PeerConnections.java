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
 * Keeps control connections to peers and sends messages over them. Owned by the control loop.
 *
 * <p>A connection is opened by the first message to a peer; the least recently used one is closed
 * when the table is full. Messages to a peer that can't be reached are dropped, because the
 * exchange repairs every loss.
 */
final class PeerConnections implements ControlOutbox, ControlChannelHandler.Listener {
    /** Receives the events of all peers, on the control loop. */
    interface Listener {
        /** Called with each message of a peer. */
        void onMessage(String peerId, ControlMessage message);

        /** Called when the last connection to a peer has ended or could not be opened. */
        void onDisconnected(String peerId);
    }

    private static final int MAXIMUM_OPENED = 32;
    private static final int MAXIMUM_ACCEPTED = 128;
    private static final int MAXIMUM_WAITING_MESSAGES = 32; // per connection that is being opened
    private static final int CONNECT_TIMEOUT_MILLISECONDS = 1_000;

    private final EventLoopGroup mLoop;
    private final Ticker mTicker;
    private final ControlPipeline mPipeline;
    private final PeerAddresses mAddresses;
    private final ControlHello mHello;
    private final String mRegion;
    private final Listener mListener;
    private final Map<String, Connection> mOpened = new LinkedHashMap<>(16, 0.75f, true);
    private final Map<String, Channel> mAccepted = new LinkedHashMap<>(16, 0.75f, true);

    /**
     * Creates an empty table.
     *
     * @param loop control loop
     * @param ticker clock
     * @param pipeline builder of pipelines
     * @param addresses addresses of peers
     * @param hello names this node to its peers
     * @param region region of this node
     * @param listener receiver of the events
     */
    PeerConnections(
            EventLoopGroup loop,
            Ticker ticker,
            ControlPipeline pipeline,
            PeerAddresses addresses,
            ControlHello hello,
            String region,
            Listener listener) {
        mLoop = loop;
        mTicker = ticker;
        mPipeline = pipeline;
        mAddresses = addresses;
        mHello = hello;
        mRegion = region;
        mListener = listener;
    }

    @Override
    public void send(String peerId, ControlMessage message) {
        Connection opened = mOpened.get(peerId);
        if (opened != null) {
            opened.send(message);
            return;
        }
        Channel accepted = mAccepted.get(peerId);
        if (accepted != null && accepted.isActive()) {
            accepted.writeAndFlush(message);
            return;
        }
        Optional<InetSocketAddress> address = mAddresses.addressOf(peerId);
        if (address.isPresent()) {
            open(peerId, address.get()).send(message);
        }
    }

    /** Closes the connections to a peer; the next message opens a new one. */
    @Override
    public void close(String peerId) {
        Connection opened = mOpened.get(peerId);
        if (opened != null) {
            opened.mChannel.close();
        }
        Channel accepted = mAccepted.get(peerId);
        if (accepted != null) {
            accepted.close();
        }
    }

    /** Configures a channel that the control port accepted. */
    void accept(Channel channel) {
        mPipeline.configure(channel, new ControlChannelHandler(mTicker, this, null));
    }

    /** Closes the connections that went silent; belongs to each control tick. */
    void closeSilent() {
        List<Channel> silent = new ArrayList<>();
        mOpened.values().forEach(connection -> addIfSilent(connection.mChannel, silent));
        mAccepted.values().forEach(channel -> addIfSilent(channel, silent));
        silent.forEach(Channel::close);
    }

    /** Closes every connection after what was written to it is sent. */
    void close() {
        List<Channel> channels = new ArrayList<>(mAccepted.values());
        mOpened.values().forEach(connection -> channels.add(connection.mChannel));
        channels.forEach(Channel::close);
    }

    @Override
    public void onHello(ChannelHandlerContext context, String peerId) {
        markRegion(context.channel(), peerId);
        Channel former = mAccepted.put(peerId, context.channel());
        if (former != null && former != context.channel()) {
            former.close();
        }
        closeEldest(mAccepted, MAXIMUM_ACCEPTED);
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
        mAccepted.remove(peerId, context.channel());
        Connection opened = mOpened.get(peerId);
        if (opened != null && opened.mChannel == context.channel()) {
            mOpened.remove(peerId);
        }
        if (!mOpened.containsKey(peerId) && !mAccepted.containsKey(peerId)) {
            mListener.onDisconnected(peerId);
        }
    }

    private Connection open(String peerId, InetSocketAddress address) {
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
                                        markRegion(channel, peerId);
                                        mPipeline.configure(channel, handler);
                                    }
                                });
        ChannelFuture connecting = bootstrap.connect(address);
        Connection connection = new Connection(connecting.channel());
        connection.send(ControlMessage.newBuilder().setHello(mHello).build());
        mOpened.put(peerId, connection);
        closeEldest();
        connecting.addListener(
                future -> {
                    if (future.isSuccess()) {
                        connection.connected();
                    } else if (mOpened.remove(peerId, connection)) {
                        mListener.onDisconnected(peerId);
                    }
                });
        return connection;
    }

    private void closeEldest() {
        if (mOpened.size() > MAXIMUM_OPENED) {
            mOpened.values().iterator().next().mChannel.close();
        }
    }

    private static void closeEldest(Map<String, Channel> channels, int maximum) {
        if (channels.size() > maximum) {
            Iterator<Channel> eldest = channels.values().iterator();
            eldest.next().close();
        }
    }

    private void markRegion(Channel channel, String peerId) {
        String region = mAddresses.regionOf(peerId);
        boolean acrossRegions = !region.isEmpty() && !region.equals(mRegion);
        channel.attr(ControlTraffic.ACROSS_REGIONS).set(acrossRegions);
    }

    private static void addIfSilent(Channel channel, List<Channel> silent) {
        ControlChannelHandler handler = channel.pipeline().get(ControlChannelHandler.class);
        if (handler != null && handler.isSilent()) {
            silent.add(channel);
        }
    }

    private static final class Connection {
        private final Channel mChannel;
        private final Queue<ControlMessage> mWaiting = new ArrayDeque<>();
        private boolean mConnected;

        Connection(Channel channel) {
            mChannel = channel;
        }

        void send(ControlMessage message) {
            if (mConnected) {
                mChannel.writeAndFlush(message);
            } else if (mWaiting.size() < MAXIMUM_WAITING_MESSAGES) {
                mWaiting.add(message);
            }
        }

        void connected() {
            mConnected = true;
            for (ControlMessage message : mWaiting) {
                mChannel.write(message);
            }
            mWaiting.clear();
            mChannel.flush();
        }
    }
}
