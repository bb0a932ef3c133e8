package org.foxtailmoor.node.platform;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import io.netty.util.concurrent.Ticker;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.base.TokenBucket;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Records the course of GET requests in metrics, and logs large responses. Confined to one event
 * loop.
 */
final class HttpGetRecorder {
    private static final Logger LOGGER = LoggerFactory.getLogger(HttpGetClient.class);

    /** Body size above which a response is logged. */
    private static final int LARGE_RESPONSE_BYTES = 32_768;

    /** Limit for lines about large responses. */
    private static final int LINES_PER_SECOND = 10;

    private final Timer mDuration;
    private final Timer mFirstByte;
    private final Timer mTransfer;
    private final Histogram mResponseBytes;
    private final Counter mReceivedBytes;
    private final Counter mDiscardedBytes;
    private final Counter mTimedOut;
    private final Map<HttpGetProgress.State, Counter> mFailures =
            new EnumMap<>(HttpGetProgress.State.class);
    private final TokenBucket mLineTokens;

    /**
     * Creates a recorder.
     *
     * @param registry registry for the metrics, not null
     * @param prefix prefix of the names of the metrics, without a dot at its end, not null
     * @param ticker clock of the event loop, not null
     */
    HttpGetRecorder(MetricRegistry registry, String prefix, Ticker ticker) {
        mDuration = registry.timer(prefix + ".duration_nanoseconds");
        mFirstByte = registry.timer(prefix + ".first_byte_nanoseconds");
        mTransfer = registry.timer(prefix + ".transfer_nanoseconds");
        mResponseBytes = registry.histogram(prefix + ".response_bytes");
        mReceivedBytes = registry.counter(prefix + ".received_bytes");
        mDiscardedBytes = registry.counter(prefix + ".discarded_bytes");
        mTimedOut = registry.counter(prefix + ".timed_out_reads");
        for (HttpGetProgress.State state : HttpGetProgress.State.values()) {
            String name = state.name().toLowerCase(Locale.ROOT);
            mFailures.put(state, registry.counter(prefix + ".failed_reads." + name));
        }
        mLineTokens = TokenBucket.of(ticker, LINES_PER_SECOND, LINES_PER_SECOND);
    }

    /** Records bytes that were received, with HTTP heads and chunk sizes. */
    void received(int bytes) {
        mReceivedBytes.inc(bytes);
    }

    /** Records a complete response. */
    void completed(String pathAndQuery, HttpGetProgress progress) {
        mDuration.update(progress.durationNanoseconds(), TimeUnit.NANOSECONDS);
        mFirstByte.update(progress.firstByteNanoseconds(), TimeUnit.NANOSECONDS);
        mTransfer.update(progress.transferNanoseconds(), TimeUnit.NANOSECONDS);
        mResponseBytes.update(progress.bodyBytes());
        if (progress.bodyBytes() > LARGE_RESPONSE_BYTES && mLineTokens.tryTake(1)) {
            LOGGER.atInfo()
                    .addKeyValue("request", pathAndQuery)
                    .addKeyValue("bytes", progress.bodyBytes())
                    .addKeyValue("milliseconds", milliseconds(progress.durationNanoseconds()))
                    .addKeyValue(
                            "firstByteMilliseconds", milliseconds(progress.firstByteNanoseconds()))
                    .addKeyValue(
                            "transferMilliseconds", milliseconds(progress.transferNanoseconds()))
                    .log("large response received");
        }
    }

    /**
     * Records a failed request.
     *
     * @param timedOut whether the client gave it up, instead of the peer or the connection
     */
    void failed(HttpGetProgress progress, boolean timedOut) {
        mFailures.get(progress.state()).inc();
        mDiscardedBytes.inc(progress.receivedBytes());
        if (timedOut) {
            mTimedOut.inc();
        }
    }

    private static long milliseconds(long nanoseconds) {
        return TimeUnit.NANOSECONDS.toMillis(nanoseconds);
    }
}
