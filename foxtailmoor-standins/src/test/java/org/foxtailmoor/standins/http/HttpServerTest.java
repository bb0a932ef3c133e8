package org.foxtailmoor.standins.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class HttpServerTest {
    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final ControlClient mClient = new ControlClient();

    @AfterEach
    void close() {
        mClient.close();
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Guards against a crashed target that accepts connections again and closes each of them. */
    @Test
    void servesNewConnectionsAfterAllWereClosed() {
        HttpService service = call -> CompletableFuture.completedFuture(HttpReply.of(200));
        try (HttpServer server = HttpServer.start(mGroup, "127.0.0.1", 0, service)) {
            InetSocketAddress address = new InetSocketAddress("127.0.0.1", server.port());
            assertThat(mClient.get(address, "/").join().status()).isEqualTo(200);
            server.closeConnections();
            assertThat(mClient.get(address, "/").join().status()).isEqualTo(200);
        }
    }
}
