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
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.base.FoxtailmoorException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Server socket that can stop listening without resetting connections that are pending in the
 * accept queue.
 */
final class ListeningPort {
    private static final Logger LOGGER = LoggerFactory.getLogger(ListeningPort.class);
    private static final int BACKLOG = 1_024;

    private final ServerSocketChannel mServerSocket;
    private final NioServerSocketChannel mChannel;
    private final Consumer<SocketChannel> mInitializer;
    private boolean mStopped;

    /**
     * Creates a port that is not bound yet.
     *
     * @param initializer adds the handlers to the pipeline of each accepted channel
     */
    ListeningPort(Consumer<SocketChannel> initializer) {
        try {
            mServerSocket = ServerSocketChannel.open();
        } catch (IOException e) {
            throw new UncheckedIOException("cannot create server socket", e);
        }
        mChannel = new NioServerSocketChannel(mServerSocket);
        mInitializer = initializer;
    }

    /**
     * Waits for the end of a bind.
     *
     * @param bound future of the bind, not null
     * @param key key of the setting with the port, for the message
     * @param port port of the setting
     * @return bound address
     * @throws FoxtailmoorException of kind ADDRESS_IN_USE if the port could not be bound
     */
    static InetSocketAddress awaitBind(ChannelFuture bound, String key, int port) {
        bound.awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw inUse(key, port, bound.cause());
        }
        return (InetSocketAddress) bound.channel().localAddress();
    }

    /** Creates the error of a port that could not be bound. */
    static FoxtailmoorException inUse(String key, int port, Throwable cause) {
        return FoxtailmoorException.of(
                ErrorKind.ADDRESS_IN_USE,
                "cannot listen on " + key + " = " + port + ": " + cause.getMessage(),
                cause);
    }

    /** Starts listening; the channel of the returned future has the bound address. */
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
                                mInitializer.accept(channel);
                            }
                        })
                .bind(address);
    }

    /**
     * Stops listening; must be called on the event loop. Connections that the operating system has
     * already established may carry a request and would be reset when the socket closes, so they
     * are accepted first.
     */
    void stop() {
        if (mStopped) {
            return;
        }
        mStopped = true;
        try {
            acceptPending();
        } catch (IOException e) {
            LOGGER.warn("cannot accept pending connections on {}", mChannel, e);
        }
        mChannel.close();
    }

    private void acceptPending() throws IOException {
        if (!mChannel.isActive()) {
            return;
        }
        java.nio.channels.SocketChannel pending = mServerSocket.accept();
        while (pending != null) {
            mChannel.pipeline().fireChannelRead(new NioSocketChannel(mChannel, pending));
            pending = mServerSocket.accept();
        }
    }
}
