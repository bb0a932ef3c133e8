package org.foxtailmoor.standins.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.base.FoxtailmoorException;

/**
 * Serves HTTP/1.1 on one port. The port can be closed and opened again, as a crashed and restarted
 * program would.
 */
public final class HttpServer implements AutoCloseable {
    private static final int MAXIMUM_BODY_BYTES = 64 << 20;
    private static final int BACKLOG = 1024;
    private static final int LISTEN_RETRY_MILLISECONDS = 10;

    private final ServerBootstrap mBootstrap;

    /** Takes new connections after a close of all, because a crashed target comes back. */
    private final ChannelGroup mConnections =
            new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, false);

    private InetSocketAddress mAddress;
    private volatile Channel mListener;
    private volatile boolean mClosed;

    private HttpServer(EventLoopGroup group, InetSocketAddress address, HttpService service) {
        mAddress = address;
        mBootstrap =
                new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(initializer(service));
    }

    /**
     * Starts a server.
     *
     * @param group event loops of the connections; the caller closes them
     * @param host address to listen on
     * @param port port to listen on, 0 takes a free one
     * @param service answers the requests
     * @throws FoxtailmoorException of kind ADDRESS_IN_USE if the port cannot be opened
     */
    public static HttpServer start(
            EventLoopGroup group, String host, int port, HttpService service) {
        HttpServer server = new HttpServer(group, new InetSocketAddress(host, port), service);
        ChannelFuture bound = server.mBootstrap.bind(server.mAddress).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw FoxtailmoorException.of(
                    ErrorKind.ADDRESS_IN_USE, "cannot listen on " + server.mAddress, bound.cause());
        }
        server.mListener = bound.channel();
        server.mAddress = (InetSocketAddress) bound.channel().localAddress();
        return server;
    }

    /** Returns the port that the server listens on, or listened on before it was closed. */
    public int port() {
        return mAddress.getPort();
    }

    /** Refuses new connections until {@link #listen()}; open connections stay. */
    public ChannelFuture stopListening() {
        return mListener.close();
    }

    /**
     * Accepts connections on the same port again after {@link #stopListening()}. The port can still
     * be taken by the closed listener, so a failed attempt is repeated until it succeeds.
     */
    public void listen() {
        if (mClosed || mListener.isOpen()) {
            return;
        }
        ChannelFuture bound = mBootstrap.bind(mAddress);
        mListener = bound.channel();
        bound.addListener(
                done -> {
                    if (!done.isSuccess()) {
                        bound.channel()
                                .eventLoop()
                                .schedule(
                                        this::listen,
                                        LISTEN_RETRY_MILLISECONDS,
                                        TimeUnit.MILLISECONDS);
                    }
                });
    }

    /** Closes every open connection, without the answers that are still to come. */
    public void closeConnections() {
        mConnections.close();
    }

    /** Makes every open connection go silent: it stays open and no byte is read or written. */
    public void silenceConnections() {
        mConnections.forEach(HttpServerHandler::silence);
    }

    /** Makes one connection go silent, see {@link #silenceConnections()}. */
    public void silence(Channel channel) {
        HttpServerHandler.silence(channel);
    }

    /** Returns the number of open connections. */
    public int connectionCount() {
        return mConnections.size();
    }

    /** Closes the port and every connection. */
    @Override
    public void close() {
        mClosed = true;
        mListener.close().awaitUninterruptibly();
        mConnections.close();
    }

    private ChannelInitializer<Channel> initializer(HttpService service) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                if (mClosed) {
                    channel.close();
                    return;
                }
                mConnections.add(channel);
                channel.pipeline()
                        .addLast(new HttpServerCodec())
                        .addLast(new HttpObjectAggregator(MAXIMUM_BODY_BYTES))
                        .addLast(new HttpServerHandler(service));
            }
        };
    }
}
