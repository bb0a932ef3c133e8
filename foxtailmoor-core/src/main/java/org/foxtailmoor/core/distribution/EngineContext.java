package org.foxtailmoor.core.distribution;

import io.netty.util.concurrent.Ticker;
import java.util.Objects;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.foxtailmoor.protocol.Document;
import org.foxtailmoor.protocol.generated.Instance;

/**
 * Immutable context shared by the components of one engine.
 *
 * @param topologyFactory computes the topology of an instance list; throws {@link
 *     IllegalArgumentException} for an invalid list
 */
record EngineContext(
        Instance self,
        long incarnation,
        Ticker ticker,
        RandomGenerator random,
        DistributionSettings settings,
        ControlOutbox outbox,
        DocumentListener listener,
        Function<Document, Topology> topologyFactory) {
    EngineContext {
        Objects.requireNonNull(self, "self");
        Objects.requireNonNull(ticker, "ticker");
        Objects.requireNonNull(random, "random");
        Objects.requireNonNull(settings, "settings");
        Objects.requireNonNull(outbox, "outbox");
        Objects.requireNonNull(listener, "listener");
        Objects.requireNonNull(topologyFactory, "topologyFactory");
    }

    long now() {
        return ticker.nanoTime();
    }

    /** Returns a random duration in nanoseconds, from 0 up to a bound in milliseconds. */
    long jitterNanoseconds(long boundMilliseconds) {
        return (long) (random.nextDouble() * Milliseconds.toNanoseconds(boundMilliseconds));
    }
}
