package org.foxtailmoor.node.admin;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.IdleStateHandler;
import java.net.InetSocketAddress;
import java.util.Map;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.base.FoxtailmoorException;

/** HTTP server of the admin port. Its endpoints are read-only. */
public final class AdminServer implements AutoCloseable {
    private static final int MAX_REQUEST_BYTES = 4_096;
    private static final int IDLE_TIMEOUT_SECONDS = 30;

    private final Channel mChannel;

    private AdminServer(Channel channel) {
        mChannel = channel;
    }

    /**
     * Binds the port and starts to serve requests.
     *
     * @param loops event loops that serve the requests, not null
     * @param address address to bind; port 0 selects a free port
     * @param endpoints endpoints by path, not null
     * @throws FoxtailmoorException of kind ADDRESS_IN_USE if the address cannot be bound
     */
    public static AdminServer bind(
            EventLoopGroup loops, InetSocketAddress address, Map<String, AdminEndpoint> endpoints) {
        Map<String, AdminEndpoint> endpointsByPath = Map.copyOf(endpoints);
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(loops)
                        .channel(NioServerSocketChannel.class)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        channel.pipeline()
                                                .addLast(
                                                        new IdleStateHandler(
                                                                0, 0, IDLE_TIMEOUT_SECONDS))
                                                .addLast(new HttpServerCodec())
                                                .addLast(
                                                        new HttpObjectAggregator(MAX_REQUEST_BYTES))
                                                .addLast(new AdminHandler(endpointsByPath));
                                    }
                                });
        ChannelFuture bound = bootstrap.bind(address).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw FoxtailmoorException.of(
                    ErrorKind.ADDRESS_IN_USE,
                    "cannot bind an admin server to " + address,
                    bound.cause());
        }
        return new AdminServer(bound.channel());
    }

    /** Returns the bound address. */
    public InetSocketAddress address() {
        return (InetSocketAddress) mChannel.localAddress();
    }

    /** Stops listening; open connections are not closed. */
    @Override
    public void close() {
        mChannel.close();
    }
}
