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
 * Accepts connections on the control port. Limits the rate of new connections, so that a reconnect
 * storm does not starve the control loop. Rejected peers reconnect with jitter.
 */
final class ControlServer {
    private static final int MAX_CONNECTIONS_PER_SECOND = 200;

    private final Channel mChannel;

    private ControlServer(Channel channel) {
        mChannel = channel;
    }

    /**
     * Binds the port. No connection is accepted until {@link #startAccepting} is called.
     *
     * @param loop control loop
     * @param ticker clock
     * @param address address to bind; port 0 selects a free port
     * @param connections receives the accepted channels
     * @throws FoxtailmoorException of kind ADDRESS_IN_USE if the address cannot be bound
     */
    static ControlServer bind(
            EventLoopGroup loop,
            Ticker ticker,
            InetSocketAddress address,
            PeerConnections connections) {
        TokenBucket acceptRateLimit =
                TokenBucket.of(ticker, MAX_CONNECTIONS_PER_SECOND, MAX_CONNECTIONS_PER_SECOND);
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
                                        if (acceptRateLimit.tryTake(1)) {
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
                    "cannot bind the control port to " + address,
                    bound.cause());
        }
        return new ControlServer(bound.channel());
    }

    /** Returns the bound address. */
    InetSocketAddress address() {
        return (InetSocketAddress) mChannel.localAddress();
    }

    /** Starts accepting connections; earlier ones have been waiting in the listen backlog. */
    void startAccepting() {
        mChannel.config().setAutoRead(true);
    }

    /** Stops listening; accepted connections stay open. */
    void close() {
        mChannel.close();
    }
}
