package org.foxtailmoor.node.control;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.base.FoxtailmoorException;
import org.foxtailmoor.core.source.StorePosition;
import org.foxtailmoor.node.platform.HttpGetClient;
import org.foxtailmoor.node.platform.HttpGetResponse;
import org.foxtailmoor.protocol.generated.ItemResponse;

/** Reads the items of the store from the admin ports of other nodes. Confined to one thread. */
public final class HttpPeerItems implements PeerItems {
    /**
     * Time for a connection, for the response after the wait and for each further part of it. On a
     * full link they take seconds; {@link StoreControl} reads another node in the meantime.
     */
    static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(4);

    /** Nodes to which connections are kept; a node reads from few others. */
    private static final int MAX_CLIENTS = 4;

    private static final String METRICS_PREFIX = "foxtailmoor.peers";
    private static final int STATUS_OK = 200;
    private static final int STATUS_NOT_READY = ErrorKind.NOT_READY.status();

    private final EventLoopGroup mLoops;
    private final int mPort;
    private final MetricRegistry mMetrics;
    private final Map<String, HttpGetClient> mClients = new LinkedHashMap<>(MAX_CLIENTS, 1, true);

    /**
     * Creates a reader without connections.
     *
     * @param loops event loops of the connections, not null
     * @param port admin port, which is the same on all nodes
     * @param metrics registry for the metrics of the reads, not null
     */
    public HttpPeerItems(EventLoopGroup loops, int port, MetricRegistry metrics) {
        mLoops = loops;
        mPort = port;
        mMetrics = metrics;
    }

    @Override
    public CompletableFuture<ItemResponse> read(
            String host, StorePosition after, Duration age, Duration wait) {
        HttpGetClient client = mClients.computeIfAbsent(host, this::newClient);
        closeEldest();
        String query =
                "?%s=%d&%s=%s&%s=%d&%s=%d"
                        .formatted(
                                ItemsEndpoint.AFTER,
                                after.revision(),
                                ItemsEndpoint.ERA,
                                Long.toUnsignedString(after.era()),
                                ItemsEndpoint.AGE_MILLISECONDS,
                                age.toMillis(),
                                ItemsEndpoint.WAIT_MILLISECONDS,
                                wait.toMillis());
        return client.get(ItemsEndpoint.PATH + query, wait.plus(RESPONSE_TIMEOUT))
                .thenApply(HttpPeerItems::decode);
    }

    @Override
    public void close() {
        mClients.values().forEach(HttpGetClient::close);
        mClients.clear();
    }

    private HttpGetClient newClient(String host) {
        return new HttpGetClient(
                mLoops,
                new InetSocketAddress(host, mPort),
                new HttpGetClient.Timeouts(RESPONSE_TIMEOUT, RESPONSE_TIMEOUT),
                mMetrics,
                METRICS_PREFIX);
    }

    private void closeEldest() {
        if (mClients.size() > MAX_CLIENTS) {
            String eldest = mClients.keySet().iterator().next();
            mClients.remove(eldest).close();
        }
    }

    private static ItemResponse decode(HttpGetResponse response) {
        if (response.status() == STATUS_NOT_READY) {
            throw FoxtailmoorException.of(ErrorKind.NOT_READY, "the node has not all items yet");
        }
        if (response.status() != STATUS_OK) {
            throw FoxtailmoorException.of(
                    ErrorKind.PLATFORM_UNAVAILABLE,
                    "the node responded with status " + response.status());
        }
        try {
            return ItemResponse.parseFrom(response.body());
        } catch (InvalidProtocolBufferException e) {
            throw FoxtailmoorException.of(
                    ErrorKind.PLATFORM_UNAVAILABLE, "the node's response is malformed", e);
        }
    }
}
