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
 * Reads the platform as the distribution decides on each control tick, one call per topic at a
 * time. After failures it waits for an exponentially growing time with full jitter.
 */
final class SourceCalls {
    private static final Logger LOGGER = LoggerFactory.getLogger(SourceCalls.class);

    /** Shorter than the source age at which other nodes take over from a silent reader. */
    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(2);

    private static final long FIRST_BACKOFF_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(200);
    private static final int MAXIMUM_BACKOFF_DOUBLINGS = 5;

    private final Ticker mTicker;
    private final RandomGenerator mRandom;
    private final Executor mLoop;
    private final DistributionEngine mEngine;
    private final Map<Topic, TopicCalls> mTopics = new EnumMap<>(Topic.class);

    /**
     * Creates the system.
     *
     * @param ticker clock
     * @param random source of jitter
     * @param loop executor of the control loop
     * @param engine decides when to read, receives what was read
     * @param readers reader of each topic
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
        readers.forEach((topic, reader) -> mTopics.put(topic, new TopicCalls(topic, reader)));
    }

    /** Starts the calls that are due; belongs to each control tick. */
    void onTick() {
        mTopics.values().forEach(TopicCalls::onTick);
    }

    private final class TopicCalls {
        private final Topic mTopic;
        private final DocumentReader mReader;
        private boolean mCallInProgress;
        private int mFailures;
        private long mNotBeforeNanoseconds = mTicker.nanoTime();

        TopicCalls(Topic topic, DocumentReader reader) {
            mTopic = topic;
            mReader = reader;
        }

        void onTick() {
            if (mCallInProgress || mTicker.nanoTime() - mNotBeforeNanoseconds < 0) {
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
                                LOGGER.warn("call for {} ended with {}", mTopic, failure, failure);
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
            mFailures = 0;
            if (document.isPresent()) {
                mEngine.onSourceRead(mTopic, document.get());
            } else {
                mEngine.onSourceUnchanged(mTopic);
            }
        }

        private void backOff(Throwable failure) {
            long longest =
                    FIRST_BACKOFF_NANOSECONDS << Math.min(mFailures, MAXIMUM_BACKOFF_DOUBLINGS);
            mNotBeforeNanoseconds = mTicker.nanoTime() + mRandom.nextLong(longest + 1);
            if (mFailures == 0) {
                LOGGER.warn("cannot read {} from the platform: {}", mTopic, failure.getMessage());
            }
            mFailures++;
        }
    }
}
