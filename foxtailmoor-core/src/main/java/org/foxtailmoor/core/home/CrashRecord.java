package org.foxtailmoor.core.home;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Crash counts of one fingerprint by reporter. Times are ticker times in nanoseconds. */
final class CrashRecord {
    /** Counts as last stated by each reporter, own counts included; they only grow. */
    private final Map<String, Integer> mStated = new HashMap<>();

    /** Counts of each reporter that were cleared or have expired. */
    private final Map<String, Integer> mCleared = new HashMap<>();

    /** Reporters whose last statement cleared the fingerprint. */
    private final Set<String> mExonerators = new HashSet<>();

    long mChangedNanoseconds;
    long mOwnChangedNanoseconds;

    CrashRecord(long nowNanoseconds) {
        mChangedNanoseconds = nowNanoseconds;
    }

    /** Returns the crashes that still count, over all reporters. */
    int crashes() {
        int sum = 0;
        for (Map.Entry<String, Integer> stated : mStated.entrySet()) {
            sum += stated.getValue() - mCleared.getOrDefault(stated.getKey(), 0);
        }
        return sum;
    }

    /** Returns the crashes that a reporter has stated. */
    int stated(String reporter) {
        return mStated.getOrDefault(reporter, 0);
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
    boolean state(String reporter, int crashes, boolean exonerated) {
        boolean grew = crashes > stated(reporter);
        boolean newlyExonerated = exonerated && (grew || !isExonerator(reporter));
        if (grew) {
            mStated.put(reporter, crashes);
        }
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
        mCleared.putAll(mStated);
    }
}
