package org.foxtailmoor.node.data;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
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

    private final EntryGateway mEntry;
    private final BodyMemory mMemory;
    private final Set<CallerConnection> mConnections = new LinkedHashSet<>();
    private final ListeningPort mPort = new ListeningPort(this::accept);
    private boolean mLeaving;

    CallerServer(EntryGateway entry, BodyMemory memory) {
        mEntry = entry;
        mMemory = memory;
    }

    /** Starts listening; the future's channel has the bound address. */
    ChannelFuture bind(EventLoopGroup group, InetSocketAddress address) {
        return mPort.bind(group, address);
    }

    /** Ends every connection after the answer to its open request from now on. */
    void leave() {
        mLeaving = true;
    }

    boolean isLeaving() {
        return mLeaving;
    }

    /**
     * Stops listening and ends the connections that have been without a request for a time. To be
     * called again until no connection is open.
     */
    void stop() {
        mLeaving = true;
        mPort.stop();
        new ArrayList<>(mConnections).forEach(CallerConnection::closeIfUnused);
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
