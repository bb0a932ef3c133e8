package org.foxtailmoor.core.routing;

/** Raises the share of work of new upstreams over the slow start time of their service. */
final class SlowStartSystem implements UpstreamSystem {
    static final double LEAST_WARMTH = 0.1;

    @Override
    public void run(ServiceRows service, long nowNanoseconds) {
        for (UpstreamRow row : service.mRows) {
            if (row.mWarmth < 1) {
                row.mWarmth = warmth(row, service.mSlowStartNanoseconds, nowNanoseconds);
            }
        }
    }

    private static double warmth(UpstreamRow row, long slowStartNanoseconds, long nowNanoseconds) {
        if (row.mWarmAtStart || slowStartNanoseconds <= 0) {
            return 1;
        }
        double share = (double) (nowNanoseconds - row.mAddedNanoseconds) / slowStartNanoseconds;
        return Math.min(1, Math.max(LEAST_WARMTH, share));
    }
}
