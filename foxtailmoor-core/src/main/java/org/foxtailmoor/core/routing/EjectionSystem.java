package org.foxtailmoor.core.routing;

import java.util.concurrent.TimeUnit;

/** Ejects failed and leaving upstreams for a limited time and readmits them afterwards. */
final class EjectionSystem implements UpstreamSystem {
    /** Ejection time after the first failure; doubles with each further failure. */
    static final long BASE_EJECTION_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(500);

    /**
     * Maximum ejection time after failures. The link is probed meanwhile, so that no request has to
     * test whether the upstream has recovered.
     */
    static final long MAX_EJECTION_NANOSECONDS = TimeUnit.SECONDS.toNanos(2);

    /**
     * Time for which an upstream that announced it is leaving gets no requests. The limit lets a
     * process that restarts under the same id receive requests again. An upstream that is still
     * leaving refuses the next request and is marked again, at the cost of one round trip.
     */
    static final long LEAVING_MARK_NANOSECONDS = TimeUnit.SECONDS.toNanos(2);

    private static final int MAX_SHIFT = 5;

    @Override
    public void run(ServiceRows service, long nowNanoseconds) {
        for (UpstreamRow row : service.mRows) {
            if (row.mEjected && nowNanoseconds - row.mEjectedUntilNanoseconds >= 0) {
                row.mEjected = false;
            }
            if (row.mLeaving && nowNanoseconds - row.mLeavingUntilNanoseconds >= 0) {
                row.mLeaving = false;
            }
        }
    }

    /** Ejects an upstream that failed. */
    static void eject(UpstreamRow row, long nowNanoseconds) {
        int shift = Math.min(row.mFailures, MAX_SHIFT);
        long duration = Math.min(BASE_EJECTION_NANOSECONDS << shift, MAX_EJECTION_NANOSECONDS);
        row.mFailures++;
        row.mEjected = true;
        row.mEjectedUntilNanoseconds = nowNanoseconds + duration;
    }

    /** Marks an upstream as leaving. */
    static void markLeaving(UpstreamRow row, long nowNanoseconds) {
        row.mLeaving = true;
        row.mLeavingUntilNanoseconds = nowNanoseconds + LEAVING_MARK_NANOSECONDS;
    }
}
