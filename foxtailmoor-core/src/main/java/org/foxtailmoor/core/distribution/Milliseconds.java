package org.foxtailmoor.core.distribution;

/** Converts between milliseconds and readings of the ticker in nanoseconds. */
final class Milliseconds {
    private static final long NANOSECONDS = 1_000_000;

    private Milliseconds() {}

    static long toNanoseconds(long milliseconds) {
        return milliseconds * NANOSECONDS;
    }

    static long ofNanoseconds(long nanoseconds) {
        return nanoseconds / NANOSECONDS;
    }
}
