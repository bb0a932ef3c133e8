package org.foxtailmoor.node.platform;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.base.FoxtailmoorException;
import org.foxtailmoor.core.source.InstanceList;
import org.foxtailmoor.core.source.InstanceListing;

/** Reads the instance list of the platform over HTTP. */
public final class HttpInstanceList implements InstanceList {
    private static final String PATH = "/v1/instances";
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(5);
    private static final int STATUS_OK = 200;
    private static final int STATUS_NO_CONTENT = 204;

    private final HttpGetClient mClient;
    private final InstanceListingParser mParser = new InstanceListingParser();

    /**
     * Creates an instance list. Connections are opened by the first calls.
     *
     * @param loops event loops that carry the connections, not null
     * @param address address of the platform, not null
     */
    public HttpInstanceList(EventLoopGroup loops, InetSocketAddress address) {
        mClient = new HttpGetClient(loops, address);
    }

    @Override
    public CompletableFuture<InstanceListing> read() {
        return mClient.get(PATH, RESPONSE_TIMEOUT).thenApply(this::toListing);
    }

    @Override
    public CompletableFuture<Optional<InstanceListing>> watch(
            long afterRevision, Duration timeout) {
        String query =
                "?after="
                        + Long.toUnsignedString(afterRevision)
                        + "&wait_milliseconds="
                        + timeout.toMillis();
        return mClient.get(PATH + query, timeout.plus(RESPONSE_TIMEOUT))
                .thenApply(
                        response ->
                                response.status() == STATUS_NO_CONTENT
                                        ? Optional.empty()
                                        : Optional.of(toListing(response)));
    }

    private InstanceListing toListing(HttpGetResponse response) {
        if (response.status() != STATUS_OK) {
            throw FoxtailmoorException.of(
                    ErrorKind.PLATFORM_UNAVAILABLE,
                    "the instance list request got status " + response.status());
        }
        return mParser.parse(response.body().toByteArray());
    }
}
