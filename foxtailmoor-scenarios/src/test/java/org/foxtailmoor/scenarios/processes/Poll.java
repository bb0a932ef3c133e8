package org.foxtailmoor.scenarios.processes;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Polls a condition until it holds or a timeout expires. */
final class Poll {
    private static final long INTERVAL_MILLISECONDS = 50;

    private Poll() {}

    /** Waits until a condition holds; throws an AssertionError after a number of seconds. */
    static void until(String description, long seconds, BooleanSupplier condition) {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadline) {
                throw new AssertionError("not within " + seconds + " s: " + description);
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(INTERVAL_MILLISECONDS));
        }
    }
}
