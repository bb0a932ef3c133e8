package org.foxtailmoor.node.control;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.Ticker;
import java.net.InetSocketAddress;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.base.FoxtailmoorException;
import org.foxtailmoor.base.TokenBucket;

/**
 * Listens on the control port. New connections are limited in rate, so that a reconnect storm does
 * not keep the control loop from its work; a refused peer comes back with jitter.
 */
final class ControlServer {
    private static final int MAXIMUM_CONNECTIONS_PER_SECOND = 200;

    private final Channel mChannel;

    private ControlServer(Channel channel) {
        mChannel = channel;
    }

    /**
     * Binds the port. No connection is accepted before {@link #startAccepting}.
     *
     * @param loop control loop
     * @param ticker clock
     * @param address address to bind, port 0 for a free one
     * @param connections receives the accepted channels
     * @throws FoxtailmoorException of kind ADDRESS_IN_USE if the address can't be bound
     */
    static ControlServer bind(
            EventLoopGroup loop,
            Ticker ticker,
            InetSocketAddress address,
            PeerConnections connections) {
        TokenBucket accepts =
                TokenBucket.of(
                        ticker, MAXIMUM_CONNECTIONS_PER_SECOND, MAXIMUM_CONNECTIONS_PER_SECOND);
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.AUTO_READ, false)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        if (accepts.tryTake(1)) {
                                            connections.accept(channel);
                                        } else {
                                            channel.close();
                                        }
                                    }
                                });
        ChannelFuture bound = bootstrap.bind(address).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw FoxtailmoorException.of(
                    ErrorKind.ADDRESS_IN_USE,
                    "cannot listen for control messages on " + address,
                    bound.cause());
        }
        return new ControlServer(bound.channel());
    }

    /** Returns the bound address. */
    InetSocketAddress address() {
        return (InetSocketAddress) mChannel.localAddress();
    }

    /** Accepts connections from now on; until then they wait in the listen queue. */
    void startAccepting() {
        mChannel.config().setAutoRead(true);
    }

    /** Stops listening; accepted connections stay open. */
    void close() {
        mChannel.close();
    }
}
