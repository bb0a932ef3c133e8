package org.foxtailmoor.node.platform;

import com.codahale.metrics.MetricRegistry;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;

/**
 * Sends GET requests to the platform. A connection carries one request at a time and is reused
 * after a complete response. When a request times out, its connection is closed, because the peer
 * may be unresponsive. A response that keeps arriving is not given up before a limit on its time
 * and size, because a new request would start again from its first byte on the same link.
 */
public final class HttpGetClient implements AutoCloseable {
    /**
     * Limits that are the same for all requests.
     *
     * @param connect maximum time until a connection is established
     * @param stall maximum time without a new byte within a response
     */
    public record Timeouts(Duration connect, Duration stall) {
        /** Checks that no component is null. */
        public Timeouts {
            Objects.requireNonNull(connect, "connect");
            Objects.requireNonNull(stall, "stall");
        }
    }

    private static final int MAX_IDLE_CONNECTIONS = 2;
    private static final Timeouts DEFAULT_TIMEOUTS =
            new Timeouts(Duration.ofSeconds(1), Duration.ofSeconds(5));
    private static final String DEFAULT_METRICS_PREFIX = "foxtailmoor.platform";

    private final EventLoop mLoop;
    private final InetSocketAddress mAddress;
    private final Timeouts mTimeouts;
    private final HttpGetRecorder mRecorder;
    private final ArrayDeque<HttpGetConnection> mIdleConnections = new ArrayDeque<>();

    /**
     * Creates a client without open connections, whose metrics are not exported.
     *
     * @param group event loop group, one loop of which carries all connections; not null
     * @param address address of the platform, not null
     */
    public HttpGetClient(EventLoopGroup group, InetSocketAddress address) {
        this(group, address, DEFAULT_TIMEOUTS, new MetricRegistry(), DEFAULT_METRICS_PREFIX);
    }

    /**
     * Creates a client without open connections.
     *
     * @param group event loop group, one loop of which carries all connections; not null
     * @param address address of the platform, not null
     * @param timeouts limits of all requests, not null
     * @param metrics registry for the metrics of the requests, not null
     * @param metricsPrefix prefix of the names of the metrics, without a dot at its end, not null
     */
    public HttpGetClient(
            EventLoopGroup group,
            InetSocketAddress address,
            Timeouts timeouts,
            MetricRegistry metrics,
            String metricsPrefix) {
        mLoop = group.next();
        mAddress = address;
        mTimeouts = timeouts;
        mRecorder = new HttpGetRecorder(metrics, metricsPrefix, mLoop.ticker());
    }

    /**
     * Sends a GET request. May be called from any thread.
     *
     * @param pathAndQuery request path with query string, not null
     * @param timeout maximum time from sending until the body of the response begins
     * @return future that is completed on the event loop with the complete response, or fails with
     *     PLATFORM_UNAVAILABLE
     */
    public CompletableFuture<HttpGetResponse> get(String pathAndQuery, Duration timeout) {
        CompletableFuture<HttpGetResponse> result = new CompletableFuture<>();
        mLoop.execute(
                () ->
                        send(
                                new HttpGetExchange(
                                        mAddress,
                                        pathAndQuery,
                                        timeout,
                                        mTimeouts.stall(),
                                        new HttpGetProgress(mLoop.ticker()),
                                        mRecorder,
                                        result)));
        return result;
    }

    /** Closes the idle connections. */
    @Override
    public void close() {
        mLoop.execute(() -> mIdleConnections.forEach(HttpGetConnection::close));
    }

    private void send(HttpGetExchange exchange) {
        HttpGetConnection idle = mIdleConnections.pollLast();
        while (idle != null && !idle.isActive()) {
            idle = mIdleConnections.pollLast();
        }
        if (idle != null) {
            idle.send(exchange);
            return;
        }
        ChannelFuture connecting =
                new Bootstrap()
                        .group(mLoop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(
                                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                                (int) mTimeouts.connect().toMillis())
                        .handler(new ConnectionInitializer())
                        .connect(mAddress);
        connecting.addListener(
                future -> {
                    if (future.isSuccess()) {
                        connecting.channel().pipeline().get(HttpGetConnection.class).send(exchange);
                    } else {
                        exchange.fail("cannot connect", future.cause());
                    }
                });
    }

    private final class ConnectionInitializer extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(Channel channel) {
            HttpGetConnection.addTo(channel, new IdleConnections());
        }
    }

    /** Keeps idle connections for the next requests. */
    private final class IdleConnections implements HttpGetConnection.Listener {
        @Override
        public void onIdle(HttpGetConnection connection) {
            if (mIdleConnections.size() < MAX_IDLE_CONNECTIONS) {
                mIdleConnections.addLast(connection);
            } else {
                connection.close();
            }
        }

        @Override
        public void onClosed(HttpGetConnection connection) {
            mIdleConnections.remove(connection);
        }
    }
}
