package org.foxtailmoor.node.data;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.LongSupplier;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.node.LoopDelayTimer;

/** Metrics of the data side. Timers record nanoseconds. */
final class DataMetrics {
    private static final String PREFIX = "foxtailmoor.";

    private final MetricRegistry mRegistry;
    private final Timer mEntryDuration;
    private final Timer mHomeDuration;
    private final Timer mTargetDuration;
    private final Timer mLoopDelay;
    private final Counter mCallerClosedUnanswered;
    private final Counter mCallerClosedNotReading;
    private final Counter mEntryRequests;
    private final Counter mEntryRetries;
    private final Counter mEntryCancelled;
    private final Counter mHomeRequests;
    private final Counter mHomeReplayed;
    private final Counter mHomeExpiredInTransit;
    private final Counter mTargetCrashes;
    private final Counter mHealthChecks;
    private final Counter mCrashes;
    private final Map<ErrorKind, Counter> mEntryErrors = new EnumMap<>(ErrorKind.class);
    private final Map<ErrorKind, Counter> mHomeRefusals = new EnumMap<>(ErrorKind.class);

    DataMetrics(MetricRegistry registry) {
        mRegistry = registry;
        mEntryDuration = registry.timer(PREFIX + "entry.duration_nanoseconds");
        mHomeDuration = registry.timer(PREFIX + "home.duration_nanoseconds");
        mTargetDuration = registry.timer(PREFIX + "target.duration_nanoseconds");
        mLoopDelay = LoopDelayTimer.register(registry, PREFIX + "data.loop_delay_nanoseconds");
        mCallerClosedUnanswered = registry.counter(PREFIX + "caller.closed.unanswered");
        mCallerClosedNotReading = registry.counter(PREFIX + "caller.closed.not_reading");
        mEntryRequests = registry.counter(PREFIX + "entry.requests");
        mEntryRetries = registry.counter(PREFIX + "entry.retries");
        mEntryCancelled = registry.counter(PREFIX + "entry.cancelled_requests");
        mHomeRequests = registry.counter(PREFIX + "home.requests");
        mHomeReplayed = registry.counter(PREFIX + "home.replayed_answers");
        mHomeExpiredInTransit = registry.counter(PREFIX + "home.expired_in_transit");
        mCrashes = registry.counter(PREFIX + "target.crashes");
        mHealthChecks = registry.counter(PREFIX + "home.health_checks");
        mTargetCrashes = registry.counter(PREFIX + "target.crashed_requests");
    }

    /** Time from the arrival of the request head to the outcome, at the entry node. */
    Timer entryDuration() {
        return mEntryDuration;
    }

    /** Time from the arrival of the complete request to the outcome, at the home node. */
    Timer homeDuration() {
        return mHomeDuration;
    }

    /** Time from dispatch to the complete answer of the target. */
    Timer targetDuration() {
        return mTargetDuration;
    }

    /** Delay of each tick of the data loop. */
    Timer loopDelay() {
        return mLoopDelay;
    }

    /** Requests that were read and whose connection was closed without a complete answer. */
    Counter callerClosedUnanswered() {
        return mCallerClosedUnanswered;
    }

    /** Connections that were closed because the caller took no byte of its answer. */
    Counter callerClosedNotReading() {
        return mCallerClosedNotReading;
    }

    Counter entryRequests() {
        return mEntryRequests;
    }

    Counter entryRetries() {
        return mEntryRetries;
    }

    Counter entryCancelled() {
        return mEntryCancelled;
    }

    Counter homeRequests() {
        return mHomeRequests;
    }

    Counter homeReplayed() {
        return mHomeReplayed;
    }

    /** Requests whose deadline passed before they had arrived completely. */
    Counter homeExpiredInTransit() {
        return mHomeExpiredInTransit;
    }

    /** Crashes of the target with requests in flight. */
    Counter crashes() {
        return mCrashes;
    }

    /** Requests in flight when the target crashed or broke off its answer. */
    Counter targetCrashes() {
        return mTargetCrashes;
    }

    /** Health checks that were sent to the target. */
    Counter healthChecks() {
        return mHealthChecks;
    }

    void countEntryError(ErrorKind kind) {
        mEntryErrors
                .computeIfAbsent(kind, k -> mRegistry.counter(PREFIX + "entry.errors." + k))
                .inc();
    }

    void countHomeRefusal(ErrorKind kind) {
        mHomeRefusals
                .computeIfAbsent(kind, k -> mRegistry.counter(PREFIX + "home.refusals." + k))
                .inc();
    }

    /** Registers a gauge, replacing an existing gauge of the same name. */
    void registerGauge(String name, LongSupplier value) {
        mRegistry.remove(PREFIX + name);
        mRegistry.registerGauge(PREFIX + name, (Gauge<Long>) value::getAsLong);
    }
}
