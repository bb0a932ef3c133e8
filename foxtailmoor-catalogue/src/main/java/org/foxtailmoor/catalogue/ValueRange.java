package org.foxtailmoor.catalogue;

/**
 * States which whole numbers a field of a catalogue entry may hold.
 *
 * @param field name of the field in operators' files, with its unit
 * @param minimum smallest allowed value
 * @param maximum largest allowed value, at least the minimum
 */
public record ValueRange(String field, long minimum, long maximum) {
    private static final int MAXIMUM_DEADLINE_MILLISECONDS = 30_000;
    private static final int MAXIMUM_BODY_BYTES = 8 * 1024 * 1024;

    /** Relative share of an upstream's slots. */
    public static final ValueRange WEIGHT = new ValueRange("weight", 1, 1_000);

    /** Requests of a class that one upstream queues; 0 means that it queues none. */
    public static final ValueRange QUEUE_LIMIT = new ValueRange("queue_limit", 0, 10_000);

    /** Concurrent requests of an upstream. */
    public static final ValueRange SLOTS = new ValueRange("slots", 1, 10_000);

    /** Open connections of an upstream. */
    public static final ValueRange CONNECTIONS = new ValueRange("connections", 1, 100_000);

    /** Crashes after which a request fingerprint is refused. */
    public static final ValueRange CRASH_LIMIT = new ValueRange("crash_limit", 1, 100);

    /** Time in which a new upstream reaches its full share; 0 means at once. */
    public static final ValueRange SLOW_START =
            new ValueRange("slow_start_milliseconds", 0, 600_000);

    /**
     * Time for a request. A graceful shutdown lasts at most 30 s, so that a longer deadline would
     * let a planned stop cut a request.
     */
    public static final ValueRange DEADLINE =
            new ValueRange("deadline_milliseconds", 1, MAXIMUM_DEADLINE_MILLISECONDS);

    /**
     * Length of a request body. A node with default settings holds 8 MiB of bodies, so that it
     * could never accept a longer one.
     */
    public static final ValueRange BODY_LIMIT =
            new ValueRange("body_limit_bytes", 0, MAXIMUM_BODY_BYTES);

    /** Requests per second over the fleet. */
    public static final ValueRange RATE = new ValueRange("rate_per_second", 1, 1_000_000);

    /** Requests at once above the rate, over the fleet. */
    public static final ValueRange BURST = new ValueRange("burst", 1, 1_000_000);

    /** Concurrent requests over the fleet; 0 means unlimited. */
    public static final ValueRange CONCURRENCY = new ValueRange("concurrency", 0, 1_000_000);

    /** Attempts of a request, including the first. */
    public static final ValueRange ATTEMPTS = new ValueRange("attempts", 1, 10);

    /** Retries per 100 requests. */
    public static final ValueRange BUDGET = new ValueRange("budget_percent", 0, 100);

    /** Mean wait before the first retry. */
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

    /** Returns what is allowed, for messages. */
    public String allowed() {
        return "a whole number from " + minimum + " to " + maximum;
    }
}
