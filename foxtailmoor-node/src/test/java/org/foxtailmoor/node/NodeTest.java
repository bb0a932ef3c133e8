package org.foxtailmoor.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.base.SettingsReader;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests a complete node process: start, failure to start, and graceful shutdown. */
@Timeout(60)
class NodeTest {
    @TempDir Path mDirectory;

    @Test
    void nodeRunsWithoutThePlatformAndShutsDownGracefully() throws Exception {
        Node node =
                Node.start(
                        NodeSettings.of(
                                SettingsReader.of("test", NodeSettingsTest.MINIMAL_SETTINGS)));
        HttpClient client = HttpClient.newHttpClient();
        HttpResponse<String> health = get(client, node.adminAddress().getPort(), "/health");
        assertThat(health.statusCode()).isEqualTo(200);
        HttpResponse<String> ready = get(client, node.adminAddress().getPort(), "/ready");
        assertThat(ready.statusCode()).isEqualTo(503);
        HttpResponse<String> order = get(client, node.callerAddress().getPort(), "/orders");
        assertThat(order.statusCode()).isEqualTo(503);
        assertThat(order.headers().firstValue("foxtailmoor-error")).contains("NOT_READY");
        node.shutdownGracefully().get(Node.SHUTDOWN_TIMEOUT_SECONDS + 5, TimeUnit.SECONDS);
        assertThat(node.terminationFuture()).isCompleted();
    }

    @Test
    void portInUseExitsWithAddressInUse() throws Exception {
        try (ServerSocket occupied = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            for (String key : new String[] {"caller", "node", "control", "admin"}) {
                String settings =
                        NodeSettingsTest.MINIMAL_SETTINGS.replace(
                                key + "_port = 0", key + "_port = " + occupied.getLocalPort());
                assertThat(run(settings)).isEqualTo(ErrorKind.ADDRESS_IN_USE.exitCode());
            }
        }
    }

    @Test
    void invalidSettingsExitWithSettingsInvalid() throws Exception {
        assertThat(run("[node]")).isEqualTo(ErrorKind.SETTINGS_INVALID.exitCode());
    }

    @Test
    void missingArgumentExitsWithUsage() {
        assertThat(new NodeMain().execute()).isEqualTo(ErrorKind.USAGE.exitCode());
    }

    private int run(String settings) throws Exception {
        Path file = Files.writeString(mDirectory.resolve("node.toml"), settings);
        return new NodeMain().execute("--settings", file.toString());
    }

    private static HttpResponse<String> get(HttpClient client, int port, String path)
            throws Exception {
        URI uri = URI.create("http://127.0.0.1:" + port + path);
        return client.send(
                HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString());
    }
}
