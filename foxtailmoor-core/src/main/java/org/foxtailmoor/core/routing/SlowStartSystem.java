package org.foxtailmoor.core.routing;

/** Increases the traffic share of new upstreams linearly over the slow start time. */
final class SlowStartSystem implements UpstreamSystem {
    static final double MIN_FACTOR = 0.1;

    @Override
    public void run(ServiceRows service, long nowNanoseconds) {
        for (UpstreamRow row : service.mRows) {
            if (row.mSlowStartFactor < 1) {
                row.mSlowStartFactor = factor(row, service.mSlowStartNanoseconds, nowNanoseconds);
            }
        }
    }

    private static double factor(UpstreamRow row, long slowStartNanoseconds, long nowNanoseconds) {
        if (row.mSkipsSlowStart || slowStartNanoseconds <= 0) {
            return 1;
        }
        double share = (double) (nowNanoseconds - row.mAddedNanoseconds) / slowStartNanoseconds;
        return Math.min(1, Math.max(MIN_FACTOR, share));
    }
}
