package org.foxtailmoor.core.home;

import java.util.HashSet;
import java.util.Set;

/** Crash counts of one fingerprint by reporter. Times are ticker times in nanoseconds. */
final class CrashRecord {
    /** Crashes with the request in flight. */
    private final ReportedCounts mCrashes = new ReportedCounts();

    /** Part of the crashes in which the request was the only suspect in flight. */
    private final ReportedCounts mCrashesAsSuspect = new ReportedCounts();

    /** Reporters whose last statement cleared the fingerprint. */
    private final Set<String> mExonerators = new HashSet<>();

    long mChangedNanoseconds;
    long mOwnChangedNanoseconds;

    CrashRecord(long nowNanoseconds) {
        mChangedNanoseconds = nowNanoseconds;
    }

    /** Returns the crashes that still count, over all reporters. */
    int crashes() {
        return mCrashes.sum();
    }

    /** Returns those of the crashes in which the request was the only suspect in flight. */
    int crashesAsSuspect() {
        return mCrashesAsSuspect.sum();
    }

    /** Returns the crashes that a reporter has stated. */
    int stated(String reporter) {
        return mCrashes.of(reporter);
    }

    /** Returns the crashes as the only suspect that a reporter has stated. */
    int statedAsSuspect(String reporter) {
        return mCrashesAsSuspect.of(reporter);
    }

    /** Returns whether the reporter's last statement cleared the fingerprint. */
    boolean isExonerator(String reporter) {
        return mExonerators.contains(reporter);
    }

    /**
     * Takes a reporter's statement. A statement that repeats the last one changes nothing, so that
     * a repeated exoneration does not clear a crash that came after it.
     *
     * @return whether the statement differs from the last one
     */
    boolean state(String reporter, int crashes, int crashesAsSuspect, boolean exonerated) {
        boolean grew = mCrashes.raise(reporter, crashes);
        mCrashesAsSuspect.raise(reporter, crashesAsSuspect);
        boolean newlyExonerated = exonerated && (grew || !isExonerator(reporter));
        if (exonerated) {
            mExonerators.add(reporter);
        } else {
            mExonerators.remove(reporter);
        }
        if (newlyExonerated) {
            clear();
        }
        return grew || newlyExonerated;
    }

    /** Clears all crashes stated so far. */
    void clear() {
        mCrashes.clear();
        mCrashesAsSuspect.clear();
    }
}
