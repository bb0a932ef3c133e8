package org.foxtailmoor.status;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class StatusMainTest {
    private final ByteArrayOutputStream mOutput = new ByteArrayOutputStream();
    private final PrintStream mStandardOutput = System.out;
    private final PrintStream mStandardError = System.err;
    private HttpServer mServer;
    private String mNode;

    @BeforeEach
    void start() throws IOException {
        String status = Files.readString(Path.of("src/test/resources/status.json"));
        mServer = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        mServer.createContext("/status", exchange -> answer(exchange, 200, status));
        mServer.createContext(
                "/explain",
                exchange -> answer(exchange, 200, exchange.getRequestURI().getRawQuery()));
        mServer.start();
        mNode = "127.0.0.1:" + mServer.getAddress().getPort();
        PrintStream stream = new PrintStream(mOutput, true, StandardCharsets.UTF_8);
        System.setOut(stream);
        System.setErr(stream);
    }

    @AfterEach
    void stop() {
        System.setOut(mStandardOutput);
        System.setErr(mStandardError);
        mServer.stop(0);
    }

    private static void answer(HttpExchange exchange, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private String run(int expectedExitCode, String... arguments) {
        int exitCode = new StatusMain().execute(arguments);
        String output = mOutput.toString(StandardCharsets.UTF_8);
        assertThat(exitCode).as(output).isEqualTo(expectedExitCode);
        return output;
    }

    /** Guards against a table that omits refused versions, conflicts or leaving upstreams. */
    @Test
    void statusPrintsATable() {
        assertThat(run(0, "status", "--node", mNode))
                .contains("12-aa", "1.0 s", "0.3 s", "1 (1 differing)", "10/20/5")
                .contains("i1: catalogue: refused 13-ff from i3: no owner")
                .contains("two publications have the same number", "leaving upstreams: i7");
    }

    /** Guards against JSON that drops fields which a newer node adds. */
    @Test
    void statusPrintsJsonWithUnknownFields() throws IOException {
        JsonNode json = new ObjectMapper().readTree(run(0, "status", "--node", mNode, "--json"));
        assertThat(json.at("/nodes/0/status/newer/0").asInt()).isEqualTo(1);
        assertThat(json.at("/agreed").asBoolean()).isTrue();
    }

    /** Guards against an invalid response that is shown as a node without a version. */
    @Test
    void statusReportsUnusableAnswers() {
        mServer.removeContext("/status");
        mServer.createContext("/status", exchange -> answer(exchange, 200, "[]"));
        assertThat(run(6, "status", "--node", mNode)).contains("without a JSON object");
        mServer.removeContext("/status");
        assertThat(run(6, "status", "--node", mNode)).contains(mNode + " answers 404");
        run(2, "status", "--node");
        run(2, "status", "--node", mNode, "--limit-milliseconds", "-1");
    }

    /** Guards against a broken answer that is shown as the state of a node. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 000 x\r\nContent-Length: 2\r\n\r\n{}",
                "HTTP/1.1  200 OK\r\nContent-Length: 2\r\n\r\n{}",
                "HTTP/1.1 200 OK\r\nX Name: a\r\nContent-Length: 2\r\n\r\n{}",
                "HTTP/1.1 200 OK\r\nContent-Length x: 2\r\n\r\n{\"",
                "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n"
            })
    void statusReportsBrokenAnswers(String answer) throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            CompletableFuture<Void> served =
                    CompletableFuture.runAsync(() -> answerOnce(server, answer));
            assertThat(run(6, "status", "--node", "127.0.0.1:" + server.getLocalPort()))
                    .contains("does not answer");
            served.get(10, TimeUnit.SECONDS);
        }
    }

    private static void answerOnce(ServerSocket server, String answer) {
        try (Socket socket = server.accept()) {
            BufferedReader reader =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.ISO_8859_1));
            String line = reader.readLine();
            while (line != null && !line.isEmpty()) {
                line = reader.readLine();
            }
            socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Guards against special characters in the path that alter the query. */
    @Test
    void explainEncodesMethodAndPath() {
        assertThat(run(0, "explain", "--node", mNode, "GET", "/a b?c&d=1"))
                .isEqualTo("method=GET&path=%2Fa+b%3Fc%26d%3D1" + System.lineSeparator());
        mServer.stop(0);
        assertThat(run(6, "explain", "--node", mNode, "GET", "/")).contains("does not answer");
    }
}
