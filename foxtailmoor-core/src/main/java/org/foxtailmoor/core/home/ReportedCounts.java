package org.foxtailmoor.core.home;

import java.util.HashMap;
import java.util.Map;

/** Monotonically increasing counts per reporter, and how much of each has been cleared. */
final class ReportedCounts {
    private final Map<String, Integer> mReported = new HashMap<>();
    private final Map<String, Integer> mCleared = new HashMap<>();

    /** Returns the sum over all reporters of the counts that have not been cleared. */
    int sum() {
        int sum = 0;
        for (Map.Entry<String, Integer> reported : mReported.entrySet()) {
            sum += reported.getValue() - mCleared.getOrDefault(reported.getKey(), 0);
        }
        return sum;
    }

    /** Returns the total count of a reporter, including what has been cleared. */
    int reportedBy(String reporter) {
        return mReported.getOrDefault(reporter, 0);
    }

    /** Raises the count of a reporter, and returns whether it is higher than the previous one. */
    boolean raise(String reporter, int count) {
        boolean higher = count > reportedBy(reporter);
        if (higher) {
            mReported.put(reporter, count);
        }
        return higher;
    }

    /** Clears all counts reported so far. */
    void clear() {
        mCleared.putAll(mReported);
    }
}
