package org.foxtailmoor.node.control;

import io.netty.util.concurrent.Ticker;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.foxtailmoor.core.distribution.DistributionEngine;
import org.foxtailmoor.core.distribution.SourceRole;
import org.foxtailmoor.protocol.Document;
import org.foxtailmoor.protocol.generated.Topic;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Calls the platform as the distribution engine decides on each control tick, with at most one call
 * per topic at a time. Calls that follow a failure are delayed by exponential backoff with full
 * jitter.
 */
final class SourceCalls {
    private static final Logger LOGGER = LoggerFactory.getLogger(SourceCalls.class);

    /** Shorter than the source age at which other nodes take over from an unresponsive reader. */
    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(2);

    private static final long INITIAL_BACKOFF_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(200);
    private static final int MAX_BACKOFF_DOUBLINGS = 5;

    private final Ticker mTicker;
    private final RandomGenerator mRandom;
    private final Executor mLoop;
    private final DistributionEngine mEngine;
    private final Map<Topic, TopicScheduler> mSchedulers = new EnumMap<>(Topic.class);

    /**
     * Creates an instance without calls in progress.
     *
     * @param ticker clock
     * @param random source of randomness for the jitter
     * @param loop control loop, on which the results are processed
     * @param engine decides when to call the platform, and receives the results
     * @param readers readers by topic
     */
    SourceCalls(
            Ticker ticker,
            RandomGenerator random,
            Executor loop,
            DistributionEngine engine,
            Map<Topic, DocumentReader> readers) {
        mTicker = ticker;
        mRandom = random;
        mLoop = loop;
        mEngine = engine;
        readers.forEach(
                (topic, reader) -> mSchedulers.put(topic, new TopicScheduler(topic, reader)));
    }

    /** Starts the calls that are due. Must be called on each control tick. */
    void onTick() {
        mSchedulers.values().forEach(TopicScheduler::onTick);
    }

    private final class TopicScheduler {
        private final Topic mTopic;
        private final DocumentReader mReader;
        private boolean mCallInProgress;
        private int mConsecutiveFailures;
        private long mNextCallNanoseconds = mTicker.nanoTime();

        TopicScheduler(Topic topic, DocumentReader reader) {
            mTopic = topic;
            mReader = reader;
        }

        void onTick() {
            if (mCallInProgress || mTicker.nanoTime() - mNextCallNanoseconds < 0) {
                return;
            }
            SourceRole role = mEngine.sourceRole(mTopic);
            if (role == SourceRole.NONE) {
                return;
            }
            mCallInProgress = true;
            Document known = mEngine.document(mTopic);
            CompletableFuture<Optional<Document>> call =
                    role == SourceRole.WATCH
                            ? mReader.watch(known, WATCH_TIMEOUT)
                            : mReader.read(known);
            call.whenCompleteAsync(this::onResult, mLoop)
                    .exceptionally(
                            failure -> {
                                LOGGER.warn("call for {} failed: {}", mTopic, failure, failure);
                                return null;
                            });
        }

        private void onResult(Optional<Document> document, Throwable failure) {
            mCallInProgress = false;
            if (failure != null) {
                backOff(failure);
                mEngine.onSourceFailed(mTopic);
                return;
            }
            mConsecutiveFailures = 0;
            if (document.isPresent()) {
                mEngine.onSourceRead(mTopic, document.get());
            } else {
                mEngine.onSourceUnchanged(mTopic);
            }
        }

        private void backOff(Throwable failure) {
            long maximumBackoffNanoseconds =
                    INITIAL_BACKOFF_NANOSECONDS
                            << Math.min(mConsecutiveFailures, MAX_BACKOFF_DOUBLINGS);
            mNextCallNanoseconds =
                    mTicker.nanoTime() + mRandom.nextLong(maximumBackoffNanoseconds + 1);
            if (mConsecutiveFailures == 0) {
                LOGGER.warn(
                        "cannot read {} from the platform, retrying with backoff: {}",
                        mTopic,
                        failure.getMessage());
            }
            mConsecutiveFailures++;
        }
    }
}
