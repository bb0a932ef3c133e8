package org.foxtailmoor.catalogue;

/**
 * Range of integers allowed in a numeric field of a catalogue entry.
 *
 * @param field name of the field in catalogue files, with its unit
 * @param minimum smallest allowed value
 * @param maximum largest allowed value, at least the minimum
 */
public record ValueRange(String field, long minimum, long maximum) {
    private static final int MAXIMUM_DEADLINE_MILLISECONDS = 30_000;
    private static final int MAXIMUM_BODY_BYTES = 8 * 1024 * 1024;

    /** Relative weight in the division of an upstream's slots. */
    public static final ValueRange WEIGHT = new ValueRange("weight", 1, 1_000);

    /** Maximum number of queued requests of a class per upstream; 0 disables queueing. */
    public static final ValueRange QUEUE_LIMIT = new ValueRange("queue_limit", 0, 10_000);

    /** Maximum number of concurrent requests per upstream. */
    public static final ValueRange SLOTS = new ValueRange("slots", 1, 10_000);

    /** Maximum number of open connections per upstream. */
    public static final ValueRange CONNECTIONS = new ValueRange("connections", 1, 100_000);

    /** Number of crashes after which requests with the same fingerprint are refused. */
    public static final ValueRange CRASH_LIMIT = new ValueRange("crash_limit", 1, 100);

    /** Ramp-up time until a new upstream gets its full share; 0 disables the ramp-up. */
    public static final ValueRange SLOW_START =
            new ValueRange("slow_start_milliseconds", 0, 600_000);

    /**
     * Deadline of a request. A graceful shutdown lasts at most 30 s, so a request with a longer
     * deadline could be aborted by a planned stop.
     */
    public static final ValueRange DEADLINE =
            new ValueRange("deadline_milliseconds", 1, MAXIMUM_DEADLINE_MILLISECONDS);

    /**
     * Maximum length of a request body. A node with default settings holds 8 MiB of request bodies,
     * so it could never accept a longer one.
     */
    public static final ValueRange BODY_LIMIT =
            new ValueRange("body_limit_bytes", 0, MAXIMUM_BODY_BYTES);

    /** Maximum number of requests per second across the fleet. */
    public static final ValueRange RATE = new ValueRange("rate_per_second", 1, 1_000_000);

    /** Maximum burst of requests above the rate, across the fleet. */
    public static final ValueRange BURST = new ValueRange("burst", 1, 1_000_000);

    /** Maximum number of concurrent requests across the fleet; 0 means unlimited. */
    public static final ValueRange CONCURRENCY = new ValueRange("concurrency", 0, 1_000_000);

    /** Maximum number of attempts per request, including the first. */
    public static final ValueRange ATTEMPTS = new ValueRange("attempts", 1, 10);

    /** Retry budget: maximum number of retries per 100 requests. */
    public static final ValueRange BUDGET = new ValueRange("budget_percent", 0, 100);

    /** Mean backoff before the first retry. */
    public static final ValueRange BASE_BACKOFF =
            new ValueRange("base_backoff_milliseconds", 1, 10_000);

    /** Checks that the range is not empty. */
    public ValueRange {
        if (minimum > maximum) {
            throw new IllegalArgumentException(field + ": " + minimum + " is above " + maximum);
        }
    }

    /** Returns whether a value is in the range. */
    public boolean contains(long value) {
        return value >= minimum && value <= maximum;
    }

    /** Returns a description of the allowed values for error messages. */
    public String describe() {
        return "a whole number from " + minimum + " to " + maximum;
    }
}
