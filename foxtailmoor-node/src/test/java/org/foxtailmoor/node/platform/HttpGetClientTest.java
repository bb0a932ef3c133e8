package org.foxtailmoor.node.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the client against a server on a loopback socket. */
class HttpGetClientTest {
    private static final int CHUNKS = 80;
    private static final int CHUNK_BYTES = 100;
    private static final long CHUNK_INTERVAL_MILLISECONDS = 25;
    private static final Duration TIMEOUT = Duration.ofMillis(1_000);

    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private Channel mServer;

    /** Answers a request with a body whose parts are written at a fixed interval. */
    private static final class SlowServer extends ChannelInboundHandlerAdapter {
        private int mWrittenChunks;

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ReferenceCountUtil.release(message);
            int length = CHUNKS * CHUNK_BYTES;
            context.writeAndFlush(
                    text("HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n"));
            writeChunk(context);
        }

        private void writeChunk(ChannelHandlerContext context) {
            context.writeAndFlush(text("a".repeat(CHUNK_BYTES)))
                    .addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
            mWrittenChunks++;
            if (mWrittenChunks < CHUNKS) {
                context.executor()
                        .schedule(
                                () -> writeChunk(context),
                                CHUNK_INTERVAL_MILLISECONDS,
                                TimeUnit.MILLISECONDS);
            }
        }

        private static ByteBuf text(String text) {
            return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
        }
    }

    @BeforeEach
    void listen() {
        mServer =
                new ServerBootstrap()
                        .group(mGroup)
                        .channel(NioServerSocketChannel.class)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        channel.pipeline().addLast(new SlowServer());
                                    }
                                })
                        .bind(new InetSocketAddress("127.0.0.1", 0))
                        .syncUninterruptibly()
                        .channel();
    }

    @AfterEach
    void close() {
        mServer.close();
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    /** Guards against a large response that a slow link can never deliver. */
    @Test
    void responseThatArrivesSteadilyForLongerThanTheTimeoutIsCompleted() {
        HttpGetClient client =
                new HttpGetClient(mGroup, (InetSocketAddress) mServer.localAddress());
        HttpGetResponse response = client.get("/", TIMEOUT).join();
        assertThat(response.body().size()).isEqualTo(CHUNKS * CHUNK_BYTES);
    }
}
