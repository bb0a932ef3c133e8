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
 * Sends GET requests to the platform. A connection carries one call at a time and is used again
 * after a whole answer; one without an answer in time is closed, since it may have gone silent.
 */
public final class HttpGetClient implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLISECONDS = 1_000;
    private static final int MAXIMUM_BODY_BYTES = 16 << 20;
    private static final int MAXIMUM_IDLE_CONNECTIONS = 2;

    private final EventLoop mLoop;
    private final InetSocketAddress mAddress;
    private final ArrayDeque<Connection> mIdle = new ArrayDeque<>();

    /**
     * Creates a client without connections.
     *
     * @param group event loops; one of them carries all connections; not null
     * @param address address of the platform, not null
     */
    public HttpGetClient(EventLoopGroup group, InetSocketAddress address) {
        mLoop = group.next();
        mAddress = address;
    }

    /**
     * Sends a GET request. May be called by any thread.
     *
     * @param pathAndQuery path with query, not null
     * @param timeout longest time until the whole answer
     * @return the whole answer, on the event loop; fails with PLATFORM_UNAVAILABLE if there is none
     */
    public CompletableFuture<HttpAnswer> get(String pathAndQuery, Duration timeout) {
        CompletableFuture<HttpAnswer> result = new CompletableFuture<>();
        mLoop.execute(() -> send(new Call(pathAndQuery, timeout, result)));
        return result;
    }

    /** Closes the idle connections. */
    @Override
    public void close() {
        mLoop.execute(() -> mIdle.forEach(connection -> connection.mChannel.close()));
    }

    private record Call(
            String pathAndQuery, Duration timeout, CompletableFuture<HttpAnswer> result) {}

    private void send(Call call) {
        Connection idle = mIdle.pollLast();
        while (idle != null && !idle.mChannel.isActive()) {
            idle = mIdle.pollLast();
        }
        if (idle != null) {
            idle.send(call);
            return;
        }
        ChannelFuture connecting =
                new Bootstrap()
                        .group(mLoop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLISECONDS)
                        .handler(new Initializer())
                        .connect(mAddress);
        connecting.addListener(
                future -> {
                    if (future.isSuccess()) {
                        connecting.channel().pipeline().get(Connection.class).send(call);
                    } else {
                        call.result()
                                .completeExceptionally(failure("cannot connect", future.cause()));
                    }
                });
    }

    private FullHttpRequest request(String pathAndQuery) {
        FullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, pathAndQuery);
        String host = mAddress.getHostString() + ":" + mAddress.getPort();
        request.headers().set(HttpHeaderNames.HOST, host);
        return request;
    }

    private FoxtailmoorException failure(String what, Throwable cause) {
        return FoxtailmoorException.of(
                ErrorKind.PLATFORM_UNAVAILABLE, what + " to the platform at " + mAddress, cause);
    }

    private final class Initializer extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(Channel channel) {
            channel.pipeline()
                    .addLast(new HttpClientCodec())
                    .addLast(new HttpObjectAggregator(MAXIMUM_BODY_BYTES))
                    .addLast(new Connection(channel));
        }
    }

    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final Channel mChannel;
        private Call mCall;
        private ScheduledFuture<?> mTimer;

        Connection(Channel channel) {
            mChannel = channel;
        }

        void send(Call call) {
            mCall = call;
            mTimer =
                    mLoop.schedule(
                            () -> fail("no answer in " + call.timeout().toMillis() + " ms", null),
                            call.timeout().toMillis(),
                            TimeUnit.MILLISECONDS);
            mChannel.writeAndFlush(request(call.pathAndQuery()));
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            if (mCall == null || response.decoderResult().isFailure()) {
                fail("malformed answer", null);
                return;
            }
            Call call = mCall;
            mCall = null;
            mTimer.cancel(false);
            ByteString body =
                    UnsafeByteOperations.unsafeWrap(ByteBufUtil.getBytes(response.content()));
            if (HttpUtil.isKeepAlive(response) && mIdle.size() < MAXIMUM_IDLE_CONNECTIONS) {
                mIdle.addLast(this);
            } else {
                context.close();
            }
            call.result()
                    .complete(new HttpAnswer(response.status().code(), response.headers(), body));
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            fail("connection closed without an answer", null);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            fail("no answer on a connection", cause);
        }

        private void fail(String what, Throwable cause) {
            mIdle.remove(this);
            mChannel.close();
            if (mCall != null) {
                Call call = mCall;
                mCall = null;
                mTimer.cancel(false);
                call.result().completeExceptionally(failure(what, cause));
            }
        }
    }
}
