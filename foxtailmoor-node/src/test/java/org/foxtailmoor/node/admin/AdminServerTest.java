package org.foxtailmoor.node.admin;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.base.FoxtailmoorException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class AdminServerTest {
    private final EventLoopGroup mLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final MetricRegistry mMetrics = new MetricRegistry();
    private final AdminServer mServer =
            AdminServer.bind(
                    mLoops,
                    new InetSocketAddress("127.0.0.1", 0),
                    Map.of(
                            "/metrics", new MetricsEndpoint(mMetrics),
                            "/ready", new HealthEndpoint("ready", () -> false),
                            "/explain", parameters -> noRoute()));

    @AfterEach
    void close() {
        mServer.close();
        mLoops.shutdownGracefully();
    }

    @Test
    void exportsMetricsAsPrometheusText() throws Exception {
        mMetrics.counter("foxtailmoor.control.sent_bytes").inc(5);
        mMetrics.timer("foxtailmoor.home.duration_nanoseconds").update(Duration.ofNanos(700));

        HttpResponse<String> response = get("/metrics");

        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(response.headers().firstValue("content-type").orElse(""))
                .startsWith("text/plain");
        assertThat(response.body().lines())
                .containsExactly(
                        "# TYPE foxtailmoor_control_sent_bytes counter",
                        "foxtailmoor_control_sent_bytes 5",
                        "# TYPE foxtailmoor_home_duration_nanoseconds summary",
                        "foxtailmoor_home_duration_nanoseconds{quantile=\"0.5\"} 700.0",
                        "foxtailmoor_home_duration_nanoseconds{quantile=\"0.99\"} 700.0",
                        "foxtailmoor_home_duration_nanoseconds{quantile=\"1\"} 700",
                        "foxtailmoor_home_duration_nanoseconds_count 1");
    }

    @Test
    void mapsConditionErrorKindAndUnknownPathToStatus() throws Exception {
        assertThat(get("/ready").statusCode()).isEqualTo(503);
        assertThat(get("/explain?path=/x").statusCode()).isEqualTo(ErrorKind.NO_ROUTE.status());
        assertThat(get("/other").statusCode()).isEqualTo(404);
    }

    /** Guards against reporting a port that is already in use as an unspecific error. */
    @Test
    void reportsAPortInUse() {
        assertThatThrownBy(() -> AdminServer.bind(mLoops, mServer.address(), Map.of()))
                .isInstanceOfSatisfying(
                        FoxtailmoorException.class,
                        exception ->
                                assertThat(exception.kind()).isEqualTo(ErrorKind.ADDRESS_IN_USE));
    }

    private HttpResponse<String> get(String path) throws IOException, InterruptedException {
        URI uri = URI.create("http://127.0.0.1:" + mServer.address().getPort() + path);
        return HttpClient.newHttpClient()
                .send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString());
    }

    private static CompletableFuture<AdminResponse> noRoute() {
        return CompletableFuture.failedFuture(
                FoxtailmoorException.of(ErrorKind.NO_ROUTE, "no route"));
    }
}
