package org.foxtailmoor.node.platform;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.base.FoxtailmoorException;

/**
 * Sends GET requests to the platform. A connection carries one request at a time and is reused
 * after a complete response. When a request times out, its connection is closed, because the peer
 * may be unresponsive.
 */
public final class HttpGetClient implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLISECONDS = 1_000;
    private static final int MAX_RESPONSE_BODY_BYTES = 16 << 20;
    private static final int MAX_IDLE_CONNECTIONS = 2;

    private final EventLoop mLoop;
    private final InetSocketAddress mAddress;
    private final ArrayDeque<Connection> mIdleConnections = new ArrayDeque<>();

    /**
     * Creates a client without open connections.
     *
     * @param group event loop group, one loop of which carries all connections; not null
     * @param address address of the platform, not null
     */
    public HttpGetClient(EventLoopGroup group, InetSocketAddress address) {
        mLoop = group.next();
        mAddress = address;
    }

    /**
     * Sends a GET request. May be called from any thread.
     *
     * @param pathAndQuery request path with query string, not null
     * @param timeout maximum time from sending until the complete response
     * @return future that is completed on the event loop with the complete response, or fails with
     *     PLATFORM_UNAVAILABLE
     */
    public CompletableFuture<HttpGetResponse> get(String pathAndQuery, Duration timeout) {
        CompletableFuture<HttpGetResponse> result = new CompletableFuture<>();
        mLoop.execute(() -> send(new PendingRequest(pathAndQuery, timeout, result)));
        return result;
    }

    /** Closes the idle connections. */
    @Override
    public void close() {
        mLoop.execute(() -> mIdleConnections.forEach(connection -> connection.mChannel.close()));
    }

    private record PendingRequest(
            String pathAndQuery, Duration timeout, CompletableFuture<HttpGetResponse> result) {}

    private void send(PendingRequest pending) {
        Connection idle = mIdleConnections.pollLast();
        while (idle != null && !idle.mChannel.isActive()) {
            idle = mIdleConnections.pollLast();
        }
        if (idle != null) {
            idle.send(pending);
            return;
        }
        ChannelFuture connecting =
                new Bootstrap()
                        .group(mLoop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLISECONDS)
                        .handler(new ConnectionInitializer())
                        .connect(mAddress);
        connecting.addListener(
                future -> {
                    if (future.isSuccess()) {
                        connecting.channel().pipeline().get(Connection.class).send(pending);
                    } else {
                        pending.result()
                                .completeExceptionally(
                                        unavailable("cannot connect", future.cause()));
                    }
                });
    }

    private FullHttpRequest newRequest(String pathAndQuery) {
        FullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, pathAndQuery);
        String host = mAddress.getHostString() + ":" + mAddress.getPort();
        request.headers().set(HttpHeaderNames.HOST, host);
        return request;
    }

    private FoxtailmoorException unavailable(String reason, Throwable cause) {
        return FoxtailmoorException.of(
                ErrorKind.PLATFORM_UNAVAILABLE,
                "request to the platform at " + mAddress + " failed: " + reason,
                cause);
    }

    private final class ConnectionInitializer extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(Channel channel) {
            channel.pipeline()
                    .addLast(new HttpClientCodec())
                    .addLast(new HttpObjectAggregator(MAX_RESPONSE_BODY_BYTES))
                    .addLast(new Connection(channel));
        }
    }

    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final Channel mChannel;
        private PendingRequest mPendingRequest;
        private ScheduledFuture<?> mTimeoutTask;

        Connection(Channel channel) {
            mChannel = channel;
        }

        void send(PendingRequest pending) {
            mPendingRequest = pending;
            mTimeoutTask =
                    mLoop.schedule(
                            () ->
                                    fail(
                                            "no response within "
                                                    + pending.timeout().toMillis()
                                                    + " ms",
                                            null),
                            pending.timeout().toMillis(),
                            TimeUnit.MILLISECONDS);
            mChannel.writeAndFlush(newRequest(pending.pathAndQuery()));
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            if (mPendingRequest == null || response.decoderResult().isFailure()) {
                fail("malformed or unexpected response", null);
                return;
            }
            PendingRequest pending = mPendingRequest;
            mPendingRequest = null;
            mTimeoutTask.cancel(false);
            ByteString body =
                    UnsafeByteOperations.unsafeWrap(ByteBufUtil.getBytes(response.content()));
            if (HttpUtil.isKeepAlive(response) && mIdleConnections.size() < MAX_IDLE_CONNECTIONS) {
                mIdleConnections.addLast(this);
            } else {
                context.close();
            }
            pending.result()
                    .complete(
                            new HttpGetResponse(
                                    response.status().code(), response.headers(), body));
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            fail("the connection was closed before the response", null);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            fail("connection error", cause);
        }

        private void fail(String reason, Throwable cause) {
            mIdleConnections.remove(this);
            mChannel.close();
            if (mPendingRequest != null) {
                PendingRequest pending = mPendingRequest;
                mPendingRequest = null;
                mTimeoutTask.cancel(false);
                pending.result().completeExceptionally(unavailable(reason, cause));
            }
        }
    }
}
