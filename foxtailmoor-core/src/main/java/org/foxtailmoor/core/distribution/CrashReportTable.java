package org.foxtailmoor.core.distribution;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.foxtailmoor.protocol.generated.CrashReport;

/** Crash reports of the node's own service, keyed by fingerprint and reporter. */
final class CrashReportTable {
    /** Maximum number of reports; the least recently changed one is evicted first. */
    static final int MAX_SIZE = 256;

    /** Maximum number of reports in one advert. */
    static final int MAX_PER_ADVERT = 16;

    // A poisoned fingerprint is refused for 10 minutes; older reports have no effect.
    private static final long RETENTION_NANOSECONDS = Milliseconds.toNanoseconds(600_000);

    private record Key(ByteString fingerprint, String reporter) {}

    private record StoredReport(CrashReport report, long changedNanoseconds) {}

    private final Map<Key, StoredReport> mReports = new LinkedHashMap<>();

    /** Stores a report and returns whether it differs from the previous one. */
    boolean put(CrashReport report, long nowNanoseconds) {
        Key key = new Key(report.getFingerprint(), report.getReporter());
        StoredReport previous = mReports.get(key);
        if (previous != null && previous.report().equals(report)) {
            return false;
        }
        mReports.remove(key);
        mReports.put(key, new StoredReport(report, nowNanoseconds));
        if (mReports.size() > MAX_SIZE) {
            mReports.remove(mReports.keySet().iterator().next());
        }
        return true;
    }

    /**
     * Returns the reports that changed within a period, latest first, at most {@link
     * #MAX_PER_ADVERT}.
     */
    List<CrashReport> changedWithin(long nanoseconds, long nowNanoseconds) {
        List<CrashReport> reports = new ArrayList<>();
        for (StoredReport stored : mReports.values()) {
            if (nowNanoseconds - stored.changedNanoseconds() <= nanoseconds) {
                reports.add(0, stored.report());
            }
        }
        return reports.subList(0, Math.min(MAX_PER_ADVERT, reports.size()));
    }

    /** Removes reports older than the retention period. */
    void expire(long nowNanoseconds) {
        mReports.values()
                .removeIf(
                        stored ->
                                nowNanoseconds - stored.changedNanoseconds()
                                        > RETENTION_NANOSECONDS);
    }
}
