package org.foxtailmoor.core.admission;

import java.util.concurrent.TimeUnit;
import org.foxtailmoor.protocol.generated.Load;

/** Builds the load of a target that its home reports to other nodes. */
final class LoadReport {
    /** Service time that entry nodes assume before the first measurement. */
    private static final long ASSUMED_SERVICE_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(60);

    /** Largest queue that is reported for a pace; more than any entry node places. */
    private static final int MAX_REPORTED_QUEUE = 10_000;

    private static final double PERCENT = 100;

    private LoadReport() {}

    /**
     * Returns the load.
     *
     * @param running requests that run
     * @param queued requests that wait
     * @param serviceNanoseconds mean service time, 0 before the first measurement
     * @param failureRate share of requests that the target refused or failed, 0 to 1
     */
    static Load of(
            int running,
            int queued,
            long serviceNanoseconds,
            double failureRate,
            ConcurrencyLimit concurrency,
            StartPacer pacer) {
        Load.Builder load =
                Load.newBuilder()
                        .setRunning(running)
                        .setQueued(queued)
                        .setSlots(concurrency.sustainedLimit())
                        .setWorkTimePercent(concurrency.workTimePercent())
                        .setServiceTimeMicroseconds(
                                (int) TimeUnit.NANOSECONDS.toMicros(serviceNanoseconds))
                        .setFailurePercent((int) Math.round(failureRate * PERCENT));
        if (pacer.startsPerSecond() != Double.POSITIVE_INFINITY) {
            long service =
                    serviceNanoseconds == 0 ? ASSUMED_SERVICE_NANOSECONDS : serviceNanoseconds;
            reportPace(load, service, pacer);
        }
        return load.build();
    }

    /**
     * Reports as many slots as the pace of the starts can use, and the wait for the pace as queued
     * requests, so that entry nodes expect this wait and place requests elsewhere first.
     */
    private static void reportPace(Load.Builder load, long serviceNanoseconds, StartPacer pacer) {
        double used = pacer.startsPerSecond() * serviceNanoseconds / TimeUnit.SECONDS.toNanos(1);
        int slots = (int) Math.max(1, Math.min(load.getSlots(), used));
        double delay = pacer.delayNanoseconds(load.getQueued());
        int waiting = (int) Math.min(MAX_REPORTED_QUEUE, delay * slots / serviceNanoseconds);
        load.setSlots(slots).setQueued(Math.max(load.getQueued(), waiting));
    }
}
