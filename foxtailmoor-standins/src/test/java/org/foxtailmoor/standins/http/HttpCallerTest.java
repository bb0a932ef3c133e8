package org.foxtailmoor.standins.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the client of the load tool against a server that the test writes byte by byte. */
class HttpCallerTest {
    private static final long TIMEOUT_MILLISECONDS = 10_000;

    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpCaller mCaller = HttpCaller.of(mGroup, 1);
    private ServerSocket mServer;

    @BeforeEach
    void listen() throws Exception {
        mServer = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void close() throws Exception {
        mCaller.close();
        mServer.close();
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    void validAnswerIsWhole() throws Exception {
        CompletableFuture<HttpAnswer> answer = call();
        answerWith("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
        assertThat(answer.get(TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS).status()).isEqualTo(200);
    }

    /** Guards against a load tool that counts a broken answer as a success. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 000 x\r\nContent-Length: 4\r\n\r\ndone",
                "HTTP/1.1  200 OK\r\nContent-Length: 4\r\n\r\ndone",
                "HTTP/1.1 200 OK\r\nX\tName: a\r\nContent-Length: 4\r\n\r\ndone"
            })
    void invalidAnswerIsAFailure(String text) throws Exception {
        CompletableFuture<HttpAnswer> answer = call();
        answerWith(text);
        assertThat(answer)
                .failsWithin(TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS)
                .withThrowableThat()
                .withCauseInstanceOf(CallFailure.class);
    }

    private CompletableFuture<HttpAnswer> call() {
        InetSocketAddress address = (InetSocketAddress) mServer.getLocalSocketAddress();
        return mCaller.call(
                new OutgoingCall(
                        address, "POST", "/", Map.of(), new byte[0], TIMEOUT_MILLISECONDS));
    }

    /** Accepts a connection, answers its request and ends the connection. */
    private void answerWith(String text) throws IOException {
        try (Socket socket = mServer.accept()) {
            readHead(socket);
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }
    }

    private static void readHead(Socket socket) throws IOException {
        int matched = 0;
        while (matched < "\r\n\r\n".length()) {
            int next = socket.getInputStream().read();
            matched = next == "\r\n\r\n".charAt(matched) ? matched + 1 : 0;
        }
    }
}
