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
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.base.FoxtailmoorException;

/**
 * Sends GET requests to the platform, each on a connection of its own, so that a connection that
 * went silent delays one call only.
 */
final class PlatformHttpClient {
    private static final int CONNECT_TIMEOUT_MILLISECONDS = 2_000;
    private static final int MAXIMUM_BODY_BYTES = 16 << 20;
    private static final String REVISION_HEADER = "Revision";

    private final EventLoopGroup mLoop;
    private final InetSocketAddress mAddress;

    PlatformHttpClient(EventLoopGroup loop, InetSocketAddress address) {
        mLoop = loop;
        mAddress = address;
    }

    /**
     * Sends a GET request.
     *
     * @param pathAndQuery path with query
     * @param timeout longest time without a byte from the platform
     * @return the whole answer; fails with PLATFORM_UNAVAILABLE if there is none
     */
    CompletableFuture<PlatformResponse> get(String pathAndQuery, Duration timeout) {
        CompletableFuture<PlatformResponse> result = new CompletableFuture<>();
        Bootstrap bootstrap =
                new Bootstrap()
                        .group(mLoop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLISECONDS)
                        .handler(new Initializer(result, timeout));
        ChannelFuture connected = bootstrap.connect(mAddress);
        connected.addListener(
                future -> {
                    if (future.isSuccess()) {
                        connected.channel().writeAndFlush(request(pathAndQuery));
                    } else {
                        result.completeExceptionally(failure("cannot connect", future.cause()));
                    }
                });
        return result;
    }

    private FullHttpRequest request(String pathAndQuery) {
        FullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, pathAndQuery);
        String host = mAddress.getHostString() + ":" + mAddress.getPort();
        request.headers()
                .set(HttpHeaderNames.HOST, host)
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        return request;
    }

    private FoxtailmoorException failure(String what, Throwable cause) {
        return FoxtailmoorException.of(
                ErrorKind.PLATFORM_UNAVAILABLE, what + " to the platform at " + mAddress, cause);
    }

    private final class Initializer extends ChannelInitializer<Channel> {
        private final CompletableFuture<PlatformResponse> mResult;
        private final Duration mTimeout;

        Initializer(CompletableFuture<PlatformResponse> result, Duration timeout) {
            mResult = result;
            mTimeout = timeout;
        }

        @Override
        protected void initChannel(Channel channel) {
            channel.pipeline()
                    .addLast(new ReadTimeoutHandler(mTimeout.toMillis(), TimeUnit.MILLISECONDS))
                    .addLast(new HttpClientCodec())
                    .addLast(new HttpObjectAggregator(MAXIMUM_BODY_BYTES))
                    .addLast(new ResponseHandler(mResult));
        }
    }

    private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final CompletableFuture<PlatformResponse> mResult;

        ResponseHandler(CompletableFuture<PlatformResponse> result) {
            mResult = result;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            String revision = response.headers().get(REVISION_HEADER, "0");
            ByteString body =
                    UnsafeByteOperations.unsafeWrap(ByteBufUtil.getBytes(response.content()));
            try {
                long number = Long.parseUnsignedLong(revision);
                mResult.complete(new PlatformResponse(response.status().code(), number, body));
            } catch (NumberFormatException e) {
                mResult.completeExceptionally(failure("bad Revision header in an answer", e));
            }
            context.close();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            mResult.completeExceptionally(failure("connection closed without an answer", null));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            mResult.completeExceptionally(failure("no answer on a connection", cause));
            context.close();
        }
    }
}
