package org.foxtailmoor.node.data;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.base.FoxtailmoorException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Node port, on which the node listens only once it is ready. Until then other nodes are refused
 * connections and place their requests elsewhere at once. A port that the operating system chooses
 * is bound at the start, because others have to learn it.
 */
final class NodePort {
    /** Pause before the next attempt to listen on a port that another process holds. */
    static final long BIND_RETRY_MILLISECONDS = 200;

    private static final Logger LOGGER = LoggerFactory.getLogger(NodePort.class);
    private static final String KEY = "node.node_port";

    private final EventLoop mLoop;
    private final InetSocketAddress mAddress;
    private final LinkServer mServer;

    NodePort(EventLoop loop, InetSocketAddress address, LinkServer server) {
        mLoop = loop;
        mAddress = address;
        mServer = server;
    }

    /**
     * Binds a port that the operating system chooses, or checks that the configured one is free.
     * Blocks; must not be called on the event loop.
     *
     * @return address of the port
     * @throws FoxtailmoorException of kind ADDRESS_IN_USE if the port cannot be bound
     */
    InetSocketAddress start() {
        if (mAddress.getPort() == 0) {
            return ListeningPort.awaitBind(bind(), KEY, 0);
        }
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(mAddress);
        } catch (IOException e) {
            throw ListeningPort.inUse(KEY, mAddress.getPort(), e);
        }
        return mAddress;
    }

    /** Starts listening on a configured port; called on the event loop. */
    void listen() {
        if (mAddress.getPort() != 0 && !mServer.isStopped()) {
            bind().addListener(
                            bound -> {
                                if (!bound.isSuccess()) {
                                    onFailure(bound.cause());
                                }
                            });
        }
    }

    private void onFailure(Throwable cause) {
        LOGGER.error("cannot listen on {} = {}: {}", KEY, mAddress.getPort(), cause.toString());
        mLoop.schedule(this::listen, BIND_RETRY_MILLISECONDS, TimeUnit.MILLISECONDS);
    }

    private ChannelFuture bind() {
        return mServer.bind(mLoop, mAddress);
    }
}
