package org.foxtailmoor.node.data;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class ListeningPortTest {
    private final MultiThreadIoEventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    /** Echoes received data. */
    private static final class Echo extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            context.writeAndFlush(message);
        }
    }

    @AfterEach
    void stop() {
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /**
     * Guards against resetting connections that are still in the accept queue when the port stops.
     */
    @Test
    void pendingConnectionIsServedWhenThePortStops() throws Exception {
        ListeningPort port = new ListeningPort(channel -> channel.pipeline().addLast(new Echo()));
        InetSocketAddress address =
                (InetSocketAddress)
                        port.bind(
                                        mGroup,
                                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                                .sync()
                                .channel()
                                .localAddress();
        try (Socket caller = new Socket()) {
            // Runs on the event loop, so the connection cannot be accepted before the port stops.
            mGroup.submit(
                            () -> {
                                caller.connect(address);
                                caller.getOutputStream().write(7);
                                port.stop();
                                return null;
                            })
                    .get(10, TimeUnit.SECONDS);
            assertThat(caller.getInputStream().read()).isEqualTo(7);
        }
        assertThatThrownBy(() -> new Socket(address.getAddress(), address.getPort()))
                .isInstanceOf(ConnectException.class);
    }
}
