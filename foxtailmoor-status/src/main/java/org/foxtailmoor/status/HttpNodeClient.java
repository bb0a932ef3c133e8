package org.foxtailmoor.status;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.base.FoxtailmoorException;

/** Queries nodes over HTTP/1.1. */
public final class HttpNodeClient implements NodeClient {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);
    private static final int STATUS_OK = 200;

    private final HttpClient mClient =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(CONNECT_TIMEOUT)
                    .build();

    @Override
    public CompletableFuture<String> get(NodeAddress node, String target) {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + node + target))
                        .timeout(REQUEST_TIMEOUT)
                        .build();
        return mClient.sendAsync(request, HttpResponse.BodyHandlers.ofString())
                .handle((response, failure) -> toBody(node, response, failure));
    }

    private static String toBody(
            NodeAddress node, HttpResponse<String> response, Throwable failure) {
        if (failure != null) {
            Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
            throw FoxtailmoorException.of(
                    ErrorKind.PLATFORM_UNAVAILABLE, node + " does not answer: " + cause, cause);
        }
        if (response.statusCode() != STATUS_OK) {
            throw FoxtailmoorException.of(
                    ErrorKind.INTERNAL,
                    node + " answers " + response.statusCode() + ": " + response.body());
        }
        return response.body();
    }
}
