package org.foxtailmoor.standins;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.standins.http.HttpAnswer;
import org.foxtailmoor.standins.http.HttpCaller;
import org.foxtailmoor.standins.http.OutgoingCall;

/** Calls servers on loopback for tests. */
public final class TestClient implements AutoCloseable {
    private static final long TIMEOUT_MILLISECONDS = 10_000;

    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpCaller mCaller = HttpCaller.of(mGroup, 100);

    public CompletableFuture<HttpAnswer> send(
            int port, String method, String uri, Map<String, String> headers, byte[] body) {
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", port);
        return mCaller.call(
                new OutgoingCall(address, method, uri, headers, body, TIMEOUT_MILLISECONDS));
    }

    public HttpAnswer call(int port, String method, String uri, String body) {
        return send(port, method, uri, Map.of(), body.getBytes(StandardCharsets.UTF_8)).join();
    }

    public CompletableFuture<HttpAnswer> get(int port, String uri, String... headers) {
        Map<String, String> map = new HashMap<>();
        for (int i = 0; i < headers.length; i += 2) {
            map.put(headers[i], headers[i + 1]);
        }
        return send(port, "GET", uri, map, new byte[0]);
    }

    @Override
    public void close() {
        mCaller.close();
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
