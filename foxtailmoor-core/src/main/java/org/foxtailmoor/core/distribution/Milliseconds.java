package org.foxtailmoor.core.distribution;

/** Converts between milliseconds and nanoseconds, the unit of the ticker. */
final class Milliseconds {
    private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000;

    private Milliseconds() {}

    static long toNanoseconds(long milliseconds) {
        return milliseconds * NANOSECONDS_PER_MILLISECOND;
    }

    static long fromNanoseconds(long nanoseconds) {
        return nanoseconds / NANOSECONDS_PER_MILLISECOND;
    }
}
