package org.foxtailmoor.node.platform;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.base.FoxtailmoorException;
import org.foxtailmoor.core.source.ConfigurationSource;
import org.foxtailmoor.core.source.SourceValue;

/** Reads values from the configuration service over HTTP. */
public final class HttpConfigurationSource implements ConfigurationSource {
    private static final String PATH_PREFIX = "/v1/values/";
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(5);
    private static final String REVISION_HEADER = "Revision";
    private static final int STATUS_OK = 200;
    private static final int STATUS_NO_CONTENT = 204;
    private static final int STATUS_NOT_FOUND = 404;

    private final HttpGetClient mClient;

    /**
     * Creates a source. Connections are opened by the first calls.
     *
     * @param loops event loops that carry the connections, not null
     * @param address address of the platform, not null
     */
    public HttpConfigurationSource(EventLoopGroup loops, InetSocketAddress address) {
        mClient = new HttpGetClient(loops, address);
    }

    @Override
    public CompletableFuture<Optional<SourceValue>> read(String key) {
        return mClient.get(PATH_PREFIX + key, RESPONSE_TIMEOUT)
                .thenApply(response -> toValue(key, response));
    }

    @Override
    public CompletableFuture<Optional<SourceValue>> watch(
            String key, long afterRevision, Duration timeout) {
        String query =
                "?after="
                        + Long.toUnsignedString(afterRevision)
                        + "&wait_milliseconds="
                        + timeout.toMillis();
        return mClient.get(PATH_PREFIX + key + query, timeout.plus(RESPONSE_TIMEOUT))
                .thenApply(response -> toValue(key, response));
    }

    private static long revisionOf(HttpGetResponse response) {
        try {
            return Long.parseUnsignedLong(response.headers().get(REVISION_HEADER, "0"));
        } catch (NumberFormatException e) {
            throw FoxtailmoorException.of(
                    ErrorKind.PLATFORM_UNAVAILABLE,
                    "the Revision header of a response is not an unsigned number",
                    e);
        }
    }

    private static Optional<SourceValue> toValue(String key, HttpGetResponse response) {
        switch (response.status()) {
            case STATUS_OK:
                return Optional.of(new SourceValue(revisionOf(response), response.body()));
            case STATUS_NO_CONTENT:
            case STATUS_NOT_FOUND:
                return Optional.empty();
            default:
                throw FoxtailmoorException.of(
                        ErrorKind.PLATFORM_UNAVAILABLE,
                        "the configuration service responded with status "
                                + response.status()
                                + " for key "
                                + key);
        }
    }
}
