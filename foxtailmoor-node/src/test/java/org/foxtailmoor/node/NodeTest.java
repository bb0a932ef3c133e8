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

/** The whole process around its two sides: start, faults at the start, and the stop. */
@Timeout(60)
class NodeTest {
    @TempDir Path mDirectory;

    @Test
    void nodeGoesOnWithoutThePlatformAndStopsInOrder() throws Exception {
        Node node =
                Node.start(NodeSettings.of(SettingsReader.of("test", NodeSettingsTest.SMALLEST)));
        HttpClient client = HttpClient.newHttpClient();
        HttpResponse<String> health = get(client, node.adminAddress().getPort(), "/health");
        assertThat(health.statusCode()).isEqualTo(200);
        HttpResponse<String> ready = get(client, node.adminAddress().getPort(), "/ready");
        assertThat(ready.statusCode()).isEqualTo(503);
        HttpResponse<String> call = get(client, node.callerAddress().getPort(), "/orders");
        assertThat(call.statusCode()).isEqualTo(503);
        assertThat(call.headers().firstValue("foxtailmoor-error")).contains("NOT_READY");
        node.leave().get(Node.SHUTDOWN_SECONDS + 5, TimeUnit.SECONDS);
        assertThat(node.ended()).isCompleted();
    }

    @Test
    void takenPortEndsTheProgramWithItsExitCode() throws Exception {
        try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            for (String key : new String[] {"caller", "node", "control", "admin"}) {
                String settings =
                        NodeSettingsTest.SMALLEST.replace(
                                key + "_port = 0", key + "_port = " + taken.getLocalPort());
                assertThat(run(settings)).isEqualTo(ErrorKind.ADDRESS_IN_USE.exitCode());
            }
        }
    }

    @Test
    void faultySettingsEndTheProgramWithTheirExitCode() throws Exception {
        assertThat(run("[node]")).isEqualTo(ErrorKind.SETTINGS_INVALID.exitCode());
    }

    @Test
    void missingArgumentIsAUsageFault() {
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
