package org.foxtailmoor.standins.platform;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.util.concurrent.Ticker;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.base.TokenBucket;

/**
 * Counts readers' calls and limits their rate.
 *
 * <p>Each call takes one token when it arrives, and each waiting watch takes one token a second
 * while it waits. The peak of a second counts its calls and the watches that waited at its first
 * call. Not safe for several threads.
 */
final class CallBudget {
    /** Share of one second's calls that may arrive at once. */
    private static final double BURST_SECONDS = 0.25;

    /** Kinds of calls that are counted apart. */
    enum Kind {
        VALUE_READS,
        VALUE_WATCHES,
        INSTANCE_READS,
        INSTANCE_WATCHES
    }

    private final Ticker mTicker;
    private final double mCallsPerSecond;
    private final TokenBucket mTokens;
    private final Map<Kind, Long> mCalls = new EnumMap<>(Kind.class);
    private int mWaiting;
    private long mRefused;
    private long mBytes;
    private long mSecond;
    private long mCallsInSecond;
    private long mPeak;

    CallBudget(Ticker ticker, double callsPerSecond) {
        mTicker = ticker;
        mCallsPerSecond = callsPerSecond;
        mTokens = TokenBucket.of(ticker, callsPerSecond, burst());
    }

    /** Counts a call and returns whether the budget has room for it. */
    boolean tryCall(Kind kind) {
        mCalls.merge(kind, 1L, Long::sum);
        long second = TimeUnit.NANOSECONDS.toSeconds(mTicker.nanoTime());
        if (second != mSecond) {
            mSecond = second;
            mCallsInSecond = mWaiting;
        }
        mCallsInSecond++;
        mPeak = Math.max(mPeak, mCallsInSecond);
        if (mTokens.tryTake(1)) {
            return true;
        }
        mRefused++;
        return false;
    }

    /** Returns the whole seconds until a call has room, at least 1. */
    long retryAfterSeconds() {
        long nanoseconds = mTokens.nanosecondsUntil(1);
        if (nanoseconds == Long.MAX_VALUE) {
            return 1;
        }
        return Math.max(1, TimeUnit.NANOSECONDS.toSeconds(nanoseconds));
    }

    /** Adds a change to the number of waiting watches. */
    void addWaiting(int change) {
        mWaiting += change;
        mTokens.resize(Math.max(0, mCallsPerSecond - mWaiting), burst());
    }

    /** Counts the body of an answer. */
    void addBytes(long bytes) {
        mBytes += bytes;
    }

    /** Sets every count except the waiting watches to 0. */
    void reset() {
        mCalls.clear();
        mRefused = 0;
        mBytes = 0;
        mPeak = 0;
        mCallsInSecond = 0;
    }

    /** Returns the counts as a JSON object. */
    ObjectNode toJson() {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        ObjectNode calls = json.putObject("calls");
        long total = 0;
        for (Kind kind : Kind.values()) {
            long count = mCalls.getOrDefault(kind, 0L);
            calls.put(kind.name().toLowerCase(Locale.ROOT), count);
            total += count;
        }
        return json.put("total", total)
                .put("refused", mRefused)
                .put("waiting", mWaiting)
                .put("answer_bytes", mBytes)
                .put("peak_calls_per_second", mPeak);
    }

    private double burst() {
        return Math.max(1, mCallsPerSecond * BURST_SECONDS);
    }
}
