package org.foxtailmoor.core.routing;

import java.util.concurrent.TimeUnit;

/** Ends the avoidance of failed and leaving upstreams when its time has passed. */
final class AvoidanceSystem implements UpstreamSystem {
    /** Time to avoid an upstream after its first failure. */
    static final long FIRST_AVOIDANCE_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(500);

    /**
     * Longest time to avoid an upstream after failures. The link is probed meanwhile, so that no
     * request pays for finding out.
     */
    static final long LONGEST_AVOIDANCE_NANOSECONDS = TimeUnit.SECONDS.toNanos(2);

    /**
     * Time to avoid an upstream that said it is leaving. One that is still leaving afterwards says
     * so again when it refuses, which costs a round trip; a process that has restarted under the
     * same id takes work again.
     */
    static final long LEAVING_NANOSECONDS = TimeUnit.SECONDS.toNanos(2);

    private static final int LARGEST_SHIFT = 5;

    @Override
    public void run(ServiceRows service, long nowNanoseconds) {
        for (UpstreamRow row : service.mRows) {
            if (row.mAvoided && nowNanoseconds - row.mAvoidUntilNanoseconds >= 0) {
                row.mAvoided = false;
            }
            if (row.mLeaving && nowNanoseconds - row.mLeavingUntilNanoseconds >= 0) {
                row.mLeaving = false;
            }
        }
    }

    /** Starts the avoidance of an upstream that failed. */
    static void failed(UpstreamRow row, long nowNanoseconds) {
        int shift = Math.min(row.mFailures, LARGEST_SHIFT);
        long duration =
                Math.min(FIRST_AVOIDANCE_NANOSECONDS << shift, LONGEST_AVOIDANCE_NANOSECONDS);
        row.mFailures++;
        row.mAvoided = true;
        row.mAvoidUntilNanoseconds = nowNanoseconds + duration;
    }

    /** Starts the avoidance of an upstream that is leaving. */
    static void leaving(UpstreamRow row, long nowNanoseconds) {
        row.mLeaving = true;
        row.mLeavingUntilNanoseconds = nowNanoseconds + LEAVING_NANOSECONDS;
    }
}
