package org.foxtailmoor.core.routing;

import java.util.concurrent.TimeUnit;

/**
 * Decays load reports older than 1 s towards the mean of the service, because an old report is a
 * poor estimate of the current load. Upstreams without a report are assumed to be as fast as the
 * mean of the service, so that they get work at once and not more than others.
 */
final class LoadDecaySystem implements UpstreamSystem {
    static final long FRESH_REPORT_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);
    private static final double USUAL_PERCENT = 100;
    private static final double HALF_LIFE_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);

    @Override
    public void run(ServiceRows service, long nowNanoseconds) {
        double sum = 0;
        int known = 0;
        double serviceNanoseconds = 0;
        int serviceTimes = 0;
        double percent = 0;
        int percents = 0;
        for (UpstreamRow row : service.mRows) {
            if (row.mHasLoad) {
                sum += row.mReportedLoad;
                known++;
            }
            if (row.mServiceNanoseconds > 0) {
                serviceNanoseconds += row.mServiceNanoseconds;
                serviceTimes++;
            }
            if (row.mWorkTimePercent > 0) {
                percent += row.mWorkTimePercent;
                percents++;
            }
        }
        double assumedService = serviceTimes == 0 ? 0 : serviceNanoseconds / serviceTimes;
        double assumedPercent = percents == 0 ? USUAL_PERCENT : percent / percents;
        service.mMeanLoad = known == 0 ? 0 : sum / known;
        for (UpstreamRow row : service.mRows) {
            decay(row, service.mMeanLoad, nowNanoseconds);
            row.mAssumedServiceNanoseconds = assumedService;
            row.mAssumedWorkTimePercent = assumedPercent;
        }
    }

    private static void decay(UpstreamRow row, double mean, long nowNanoseconds) {
        if (!row.mHasLoad) {
            row.mDecayedLoad = mean;
            return;
        }
        long staleNanoseconds =
                nowNanoseconds - row.mReportedNanoseconds - FRESH_REPORT_NANOSECONDS;
        if (staleNanoseconds <= 0) {
            row.mDecayedLoad = row.mReportedLoad;
            return;
        }
        double kept = Math.pow(0.5, staleNanoseconds / HALF_LIFE_NANOSECONDS);
        row.mDecayedLoad = mean + (row.mReportedLoad - mean) * kept;
    }
}
