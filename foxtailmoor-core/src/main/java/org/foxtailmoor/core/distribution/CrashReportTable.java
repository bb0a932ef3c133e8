package org.foxtailmoor.core.distribution;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.foxtailmoor.protocol.generated.CrashReport;

/** Crash reports of the node's own service, by fingerprint and reporter. */
final class CrashReportTable {
    /** Largest number of reports kept; the one that changed longest ago goes first. */
    static final int LARGEST_SIZE = 256;

    /** Largest number of reports in one advert. */
    static final int LARGEST_IN_ADVERT = 16;

    // A poisoned fingerprint is refused for 10 minutes; older reports have no effect.
    private static final long KEPT_NANOSECONDS = Milliseconds.toNanoseconds(600_000);

    private record Key(ByteString fingerprint, String reporter) {}

    private record Kept(CrashReport report, long changedNanoseconds) {}

    private final Map<Key, Kept> mReports = new LinkedHashMap<>();

    /** Adds a report and returns whether it differs from the one before. */
    boolean put(CrashReport report, long nowNanoseconds) {
        Key key = new Key(report.getFingerprint(), report.getReporter());
        Kept before = mReports.get(key);
        if (before != null && before.report().equals(report)) {
            return false;
        }
        mReports.remove(key);
        mReports.put(key, new Kept(report, nowNanoseconds));
        if (mReports.size() > LARGEST_SIZE) {
            mReports.remove(mReports.keySet().iterator().next());
        }
        return true;
    }

    /** Returns the reports that changed within a time, the latest first, at most one advert's. */
    List<CrashReport> changedWithin(long nanoseconds, long nowNanoseconds) {
        List<CrashReport> reports = new ArrayList<>();
        for (Kept kept : mReports.values()) {
            if (nowNanoseconds - kept.changedNanoseconds() <= nanoseconds) {
                reports.add(0, kept.report());
            }
        }
        return reports.subList(0, Math.min(LARGEST_IN_ADVERT, reports.size()));
    }

    /** Removes reports that have no effect any more. */
    void expire(long nowNanoseconds) {
        mReports.values()
                .removeIf(kept -> nowNanoseconds - kept.changedNanoseconds() > KEPT_NANOSECONDS);
    }
}
