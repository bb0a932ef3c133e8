package org.foxtailmoor.core.routing;

import io.netty.util.concurrent.Ticker;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

/**
 * Recognizes callers that return after a refusal or a failure. A return has the path of the attempt
 * that was turned away, and its caller gives up at the same time. Belongs to the data loop.
 *
 * <p>Load pattern: an overload that lasts, in which refused callers return. A returned request has
 * mostly missed its latency objective, and would take the slot of one that can still be on time.
 */
public final class ReturningCallers {
    /** Attempts that are remembered; the oldest one is dropped first. */
    static final int REMEMBERED = 2_048;

    /** Longer paths are not remembered, which bounds the memory to about 1 MB. */
    static final int LONGEST_PATH = 512;

    /** Difference of two deadlines of one caller, which states them before each way to the node. */
    static final long DEADLINE_TOLERANCE_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(100);

    private static final float LOAD_FACTOR = 0.75f;

    private final Ticker mTicker;
    private final Map<String, CallerAttempt> mTurnedAway =
            new LinkedHashMap<>(16, LOAD_FACTOR, false) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, CallerAttempt> eldest) {
                    return size() > REMEMBERED;
                }
            };

    private ReturningCallers(Ticker ticker) {
        mTicker = Objects.requireNonNull(ticker, "ticker");
    }

    /** Creates a memory without callers, on a ticker that must not be null. */
    public static ReturningCallers of(Ticker ticker) {
        return new ReturningCallers(ticker);
    }

    /**
     * Takes a request that arrives now.
     *
     * @param path path with query, not null
     * @param statedMilliseconds what the caller will still wait; below 1 if it stated nothing
     * @return the attempt, with the time of the first one if the caller has returned
     */
    public CallerAttempt arrived(String path, long statedMilliseconds) {
        long now = mTicker.nanoTime();
        long deadline = now + TimeUnit.MILLISECONDS.toNanos(statedMilliseconds);
        CallerAttempt earlier = statedMilliseconds < 1 ? null : mTurnedAway.get(path);
        boolean returned =
                earlier != null
                        && Math.abs(earlier.deadlineNanoseconds() - deadline)
                                <= DEADLINE_TOLERANCE_NANOSECONDS;
        if (!returned) {
            return new CallerAttempt(path, now, deadline);
        }
        mTurnedAway.remove(path);
        return new CallerAttempt(path, earlier.firstNanoseconds(), deadline);
    }

    /** Remembers an attempt that was refused or failed, whose caller may return. */
    public void turnedAway(CallerAttempt attempt) {
        boolean mayReturn = attempt.deadlineNanoseconds() - mTicker.nanoTime() > 0;
        if (mayReturn && attempt.path().length() <= LONGEST_PATH) {
            mTurnedAway.put(attempt.path(), attempt);
        }
    }
}
