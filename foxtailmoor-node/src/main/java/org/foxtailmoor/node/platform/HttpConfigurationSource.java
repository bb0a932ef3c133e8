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

/** Reads the configuration service over HTTP. */
public final class HttpConfigurationSource implements ConfigurationSource {
    private static final String PATH = "/v1/values/";
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(5);
    private static final String REVISION_HEADER = "Revision";
    private static final int STATUS_OK = 200;
    private static final int STATUS_NO_CONTENT = 204;
    private static final int STATUS_NOT_FOUND = 404;

    private final HttpGetClient mClient;

    /**
     * Creates a source.
     *
     * @param loop event loop of the connections, not null
     * @param address address of the platform, not null
     */
    public HttpConfigurationSource(EventLoopGroup loop, InetSocketAddress address) {
        mClient = new HttpGetClient(loop, address);
    }

    @Override
    public CompletableFuture<Optional<SourceValue>> read(String key) {
        return mClient.get(PATH + key, ANSWER_TIMEOUT).thenApply(response -> value(key, response));
    }

    @Override
    public CompletableFuture<Optional<SourceValue>> watch(
            String key, long afterRevision, Duration timeout) {
        String query =
                "?after="
                        + Long.toUnsignedString(afterRevision)
                        + "&wait_milliseconds="
                        + timeout.toMillis();
        return mClient.get(PATH + key + query, timeout.plus(ANSWER_TIMEOUT))
                .thenApply(response -> value(key, response));
    }

    private static long revisionOf(HttpAnswer response) {
        try {
            return Long.parseUnsignedLong(response.headers().get(REVISION_HEADER, "0"));
        } catch (NumberFormatException e) {
            throw FoxtailmoorException.of(
                    ErrorKind.PLATFORM_UNAVAILABLE, "bad Revision header in an answer", e);
        }
    }

    private static Optional<SourceValue> value(String key, HttpAnswer response) {
        switch (response.status()) {
            case STATUS_OK:
                return Optional.of(new SourceValue(revisionOf(response), response.body()));
            case STATUS_NO_CONTENT:
            case STATUS_NOT_FOUND:
                return Optional.empty();
            default:
                throw FoxtailmoorException.of(
                        ErrorKind.PLATFORM_UNAVAILABLE,
                        "configuration service answered " + response.status() + " for " + key);
        }
    }
}
