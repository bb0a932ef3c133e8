package org.foxtailmoor.core.home;

import java.util.HashSet;
import java.util.Set;

/** Crash counts of one fingerprint per reporter. Times are ticker times in nanoseconds. */
final class CrashRecord {
    /** Crashes while the request was in flight. */
    private final ReportedCounts mCrashes = new ReportedCounts();

    /** Subset of the crashes in which the request was the only suspect in flight. */
    private final ReportedCounts mCrashesAsSuspect = new ReportedCounts();

    /** Reporters whose latest report cleared the fingerprint. */
    private final Set<String> mExoneratingReporters = new HashSet<>();

    long mChangedNanoseconds;
    long mLocallyChangedNanoseconds;

    CrashRecord(long nowNanoseconds) {
        mChangedNanoseconds = nowNanoseconds;
    }

    /** Returns the number of crashes over all reporters that have not been cleared. */
    int crashes() {
        return mCrashes.sum();
    }

    /** Returns how many of the crashes occurred while the request was the only suspect. */
    int crashesAsSuspect() {
        return mCrashesAsSuspect.sum();
    }

    /** Returns the total number of crashes that a reporter has reported. */
    int reportedCrashes(String reporter) {
        return mCrashes.reportedBy(reporter);
    }

    /** Returns the total number of crashes as the only suspect that a reporter has reported. */
    int reportedCrashesAsSuspect(String reporter) {
        return mCrashesAsSuspect.reportedBy(reporter);
    }

    /** Returns whether the reporter's latest report cleared the fingerprint. */
    boolean hasExonerated(String reporter) {
        return mExoneratingReporters.contains(reporter);
    }

    /**
     * Applies a report. Applying the same report again has no effect, so that a repeated
     * exoneration does not clear a later crash.
     *
     * @return whether the report raised the crash count or is a new exoneration
     */
    boolean applyReport(String reporter, int crashes, int crashesAsSuspect, boolean exonerated) {
        boolean grew = mCrashes.raise(reporter, crashes);
        mCrashesAsSuspect.raise(reporter, crashesAsSuspect);
        boolean newlyExonerated = exonerated && (grew || !hasExonerated(reporter));
        if (exonerated) {
            mExoneratingReporters.add(reporter);
        } else {
            mExoneratingReporters.remove(reporter);
        }
        if (newlyExonerated) {
            clear();
        }
        return grew || newlyExonerated;
    }

    /** Clears all crashes reported so far. */
    void clear() {
        mCrashes.clear();
        mCrashesAsSuspect.clear();
    }
}
