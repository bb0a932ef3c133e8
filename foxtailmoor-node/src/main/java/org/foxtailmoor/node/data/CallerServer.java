package org.foxtailmoor.node.data;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import org.foxtailmoor.core.admission.BodyMemory;

/** Accepts callers on the caller port. */
final class CallerServer {
    private static final int MAXIMUM_CONNECTIONS = 8_192;
    private static final int MAXIMUM_INITIAL_LINE_BYTES = 8_192;
    private static final int MAXIMUM_HEADER_BYTES = 32_768;
    private static final int MAXIMUM_CHUNK_BYTES = 65_536;
    private static final int BACKLOG = 1_024;

    private final EntryGateway mEntry;
    private final BodyMemory mMemory;
    private final Set<CallerConnection> mConnections = new LinkedHashSet<>();
    private Channel mChannel;
    private boolean mLeaving;

    CallerServer(EntryGateway entry, BodyMemory memory) {
        mEntry = entry;
        mMemory = memory;
    }

    /** Starts listening; the future's channel has the bound address. */
    ChannelFuture bind(EventLoopGroup group, InetSocketAddress address) {
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        accept(channel);
                                    }
                                })
                        .bind(address);
        mChannel = bound.channel();
        return bound;
    }

    /** Ends every connection after the answer to its open request from now on. */
    void leave() {
        mLeaving = true;
    }

    boolean isLeaving() {
        return mLeaving;
    }

    /** Stops listening and ends the connections without a request. */
    void stop() {
        mLeaving = true;
        if (mChannel != null) {
            mChannel.close();
        }
        new ArrayList<>(mConnections).forEach(CallerConnection::closeIfIdle);
    }

    /** Closes every connection at once. */
    void closeAll() {
        new ArrayList<>(mConnections).forEach(CallerConnection::close);
    }

    /** Returns the number of open connections. */
    int openConnections() {
        return mConnections.size();
    }

    /** Closes connections that have been unused for too long. */
    void tick() {
        new ArrayList<>(mConnections).forEach(CallerConnection::tick);
    }

    void onOpened(CallerConnection connection) {
        mConnections.add(connection);
    }

    void onClosed(CallerConnection connection) {
        mConnections.remove(connection);
    }

    private void accept(SocketChannel channel) {
        if (mConnections.size() >= MAXIMUM_CONNECTIONS) {
            channel.close();
            return;
        }
        channel.pipeline()
                .addLast(
                        new HttpServerCodec(
                                MAXIMUM_INITIAL_LINE_BYTES,
                                MAXIMUM_HEADER_BYTES,
                                MAXIMUM_CHUNK_BYTES))
                .addLast(new CallerConnection(this, mEntry, mMemory));
    }
}
