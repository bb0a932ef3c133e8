package org.foxtailmoor.core.routing;

import io.netty.util.concurrent.Ticker;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

/**
 * Recognizes retries of callers after a refusal or a failure: a retry has the same path and the
 * same absolute deadline as the rejected attempt. Confined to the data loop.
 *
 * <p>During a sustained overload, rejected callers retry. Most of these requests have already
 * missed their latency objective and would take the slot of a request that can still be on time.
 */
public final class CallerRetryTracker {
    /** Maximum number of tracked attempts; the oldest one is evicted first. */
    static final int MAX_TRACKED_ATTEMPTS = 2_048;

    /** Attempts with longer paths are not tracked, which limits the memory to about 1 MB. */
    static final int MAX_PATH_LENGTH = 512;

    /**
     * Maximum difference between the deadlines of an attempt and its retry. The caller states the
     * remaining time when it sends, so the computed deadline varies with the network delay.
     */
    static final long DEADLINE_TOLERANCE_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(100);

    /**
     * Part of the stated delay after which a retry is not early. Callers may round the delay or
     * shorten it by a random part.
     */
    private static final double EARLY_RATIO = 0.8;

    private static final float LOAD_FACTOR = 0.75f;

    private final Ticker mTicker;
    private final Map<String, CallerAttempt> mRejectedAttempts =
            new LinkedHashMap<>(16, LOAD_FACTOR, false) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, CallerAttempt> eldest) {
                    return size() > MAX_TRACKED_ATTEMPTS;
                }
            };

    private CallerRetryTracker(Ticker ticker) {
        mTicker = Objects.requireNonNull(ticker, "ticker");
    }

    /** Creates an empty tracker on a ticker, which must not be null. */
    public static CallerRetryTracker of(Ticker ticker) {
        return new CallerRetryTracker(ticker);
    }

    /**
     * Records the arrival of a request.
     *
     * @param path path with query, not null
     * @param statedMilliseconds remaining timeout of the caller; below 1 if not stated
     * @return the attempt, with the time of the caller's first attempt if it is a retry
     */
    public CallerAttempt onArrival(String path, long statedMilliseconds) {
        long now = mTicker.nanoTime();
        long deadline = now + TimeUnit.MILLISECONDS.toNanos(statedMilliseconds);
        CallerAttempt earlier = statedMilliseconds < 1 ? null : mRejectedAttempts.get(path);
        boolean isRetry =
                earlier != null
                        && Math.abs(earlier.deadlineNanoseconds() - deadline)
                                <= DEADLINE_TOLERANCE_NANOSECONDS;
        if (!isRetry) {
            return new CallerAttempt(path, now, deadline, now, now, false);
        }
        mRejectedAttempts.remove(path);
        boolean early = now - earlier.repeatNanoseconds() < 0;
        return new CallerAttempt(path, earlier.firstNanoseconds(), deadline, now, now, early);
    }

    /**
     * Tracks an attempt that was refused or failed, if its caller may retry.
     *
     * @param attempt attempt, not null
     * @param retryAfterMilliseconds delay that the caller is told, 0 if none
     */
    public void onRejected(CallerAttempt attempt, int retryAfterMilliseconds) {
        boolean mayRetry = attempt.deadlineNanoseconds() - mTicker.nanoTime() > 0;
        if (mayRetry && attempt.path().length() <= MAX_PATH_LENGTH) {
            double told = TimeUnit.MILLISECONDS.toNanos(retryAfterMilliseconds) * EARLY_RATIO;
            mRejectedAttempts.put(
                    attempt.path(),
                    new CallerAttempt(
                            attempt.path(),
                            attempt.firstNanoseconds(),
                            attempt.deadlineNanoseconds(),
                            attempt.arrivedNanoseconds(),
                            mTicker.nanoTime() + (long) told,
                            attempt.early()));
        }
    }
}
