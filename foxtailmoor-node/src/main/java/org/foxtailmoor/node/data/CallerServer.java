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

/** Accepts connections from callers on the caller port. */
final class CallerServer {
    private static final int MAX_CONNECTIONS = 8_192;
    private static final int MAX_INITIAL_LINE_BYTES = 8_192;
    private static final int MAX_HEADER_BYTES = 32_768;
    private static final int MAX_CHUNK_BYTES = 65_536;

    /**
     * Send buffer of each connection; the operating system doubles it. Without a fixed size it
     * grows to several MB, and a slow caller would show no progress for minutes, because the system
     * accepts bytes again only when a third of the buffer is free. 128 KiB carry 65 MB/s to a
     * caller at a round trip of 2 ms.
     */
    static final int SEND_BUFFER_BYTES = 65_536;

    /**
     * Part of the body memory that pipelined requests may use. Without it they could take the
     * memory from the answers to requests that run.
     */
    private static final double PIPELINE_MEMORY_RATIO = 1.0 / 8;

    private final EntryGateway mEntry;
    private final BodyMemory mMemory;
    private final BodyMemory mPipelineMemory;
    private final Set<CallerConnection> mConnections = new LinkedHashSet<>();
    private final ListeningPort mPort = new ListeningPort(this::accept);
    private boolean mLeaving;

    CallerServer(EntryGateway entry, BodyMemory memory) {
        mEntry = entry;
        mMemory = memory;
        mPipelineMemory = memory.part(PIPELINE_MEMORY_RATIO);
    }

    /** Starts listening; the channel of the returned future has the bound address. */
    ChannelFuture bind(EventLoopGroup group, InetSocketAddress address) {
        return mPort.bind(group, address);
    }

    /** Makes every connection close after the answer to its open request. */
    void leave() {
        mLeaving = true;
    }

    boolean isLeaving() {
        return mLeaving;
    }

    /** Stops listening and closes idle connections. Call repeatedly until no connection is open. */
    void stop() {
        mLeaving = true;
        mPort.stop();
        new ArrayList<>(mConnections).forEach(CallerConnection::closeIfIdle);
    }

    /** Answers the open requests with an error and closes every connection. */
    void endOpenRequests() {
        mLeaving = true;
        mPort.stop();
        new ArrayList<>(mConnections)
                .forEach(connection -> connection.endRequest("the node ended its connections"));
    }

    /** Closes every connection immediately. */
    void closeAll() {
        new ArrayList<>(mConnections)
                .forEach(connection -> connection.close("the node ended its connections"));
    }

    int openConnections() {
        return mConnections.size();
    }

    /** Closes connections that have exceeded the idle timeout. */
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
        if (mConnections.size() >= MAX_CONNECTIONS) {
            channel.close();
            return;
        }
        channel.config().setSendBufferSize(SEND_BUFFER_BYTES);
        channel.pipeline()
                .addLast(
                        new HttpServerCodec(
                                MAX_INITIAL_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES))
                .addLast(new CallerConnection(this, mEntry, mMemory, mPipelineMemory));
    }
}
