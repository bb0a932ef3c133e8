package org.foxtailmoor.node.admin;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.Map;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.base.FoxtailmoorException;

/** Listens on the admin port and answers with JSON. Reads only; nothing can be changed there. */
public final class AdminServer implements AutoCloseable {
    private static final int MAXIMUM_REQUEST_BYTES = 4_096;

    private final Channel mChannel;

    private AdminServer(Channel channel) {
        mChannel = channel;
    }

    /**
     * Binds the port.
     *
     * @param loop event loop that answers, not null
     * @param address address to bind, port 0 for a free one
     * @param endpoints endpoint of each path
     * @throws FoxtailmoorException of kind ADDRESS_IN_USE if the address can't be bound
     */
    public static AdminServer bind(
            EventLoopGroup loop, InetSocketAddress address, Map<String, AdminEndpoint> endpoints) {
        Map<String, AdminEndpoint> copy = Map.copyOf(endpoints);
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        channel.pipeline()
                                                .addLast(new HttpServerCodec())
                                                .addLast(
                                                        new HttpObjectAggregator(
                                                                MAXIMUM_REQUEST_BYTES))
                                                .addLast(new AdminHandler(copy));
                                    }
                                });
        ChannelFuture bound = bootstrap.bind(address).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw FoxtailmoorException.of(
                    ErrorKind.ADDRESS_IN_USE,
                    "cannot listen for admin requests on " + address,
                    bound.cause());
        }
        return new AdminServer(bound.channel());
    }

    /** Returns the bound address. */
    public InetSocketAddress address() {
        return (InetSocketAddress) mChannel.localAddress();
    }

    /** Stops listening. */
    @Override
    public void close() {
        mChannel.close();
    }
}
