package org.foxtailmoor.node.data;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A port that accepts connections and can stop without resetting those that wait to be accepted.
 */
final class ListeningPort {
    private static final Logger LOGGER = LoggerFactory.getLogger(ListeningPort.class);
    private static final int BACKLOG = 1_024;

    private final ServerSocketChannel mSockets;
    private final NioServerSocketChannel mChannel;
    private final Consumer<SocketChannel> mPrepare;
    private boolean mStopped;

    /**
     * Creates a port that does not listen yet.
     *
     * @param prepare adds the handlers to each accepted channel
     */
    ListeningPort(Consumer<SocketChannel> prepare) {
        try {
            mSockets = ServerSocketChannel.open();
        } catch (IOException e) {
            throw new UncheckedIOException("cannot create a socket", e);
        }
        mChannel = new NioServerSocketChannel(mSockets);
        mPrepare = prepare;
    }

    /** Starts listening; the future's channel has the bound address. */
    ChannelFuture bind(EventLoopGroup group, InetSocketAddress address) {
        return new ServerBootstrap()
                .group(group)
                .channelFactory(() -> mChannel)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                mPrepare.accept(channel);
                            }
                        })
                .bind(address);
    }

    /**
     * Stops listening; must be called on the event loop. Connections that the system has
     * established already may carry a request, and closing the socket would reset them, so that
     * they are accepted first.
     */
    void stop() {
        if (mStopped) {
            return;
        }
        mStopped = true;
        try {
            acceptWaiting();
        } catch (IOException e) {
            LOGGER.warn("cannot accept the connections that wait on {}", mChannel, e);
        }
        mChannel.close();
    }

    private void acceptWaiting() throws IOException {
        if (!mChannel.isActive()) {
            return;
        }
        java.nio.channels.SocketChannel waiting = mSockets.accept();
        while (waiting != null) {
            mChannel.pipeline().fireChannelRead(new NioSocketChannel(mChannel, waiting));
            waiting = mSockets.accept();
        }
    }
}
