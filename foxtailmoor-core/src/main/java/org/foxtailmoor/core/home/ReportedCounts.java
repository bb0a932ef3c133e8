package org.foxtailmoor.core.home;

import java.util.HashMap;
import java.util.Map;

/** Counts stated by several reporters, which only grow, and the part of them that was cleared. */
final class ReportedCounts {
    private final Map<String, Integer> mStated = new HashMap<>();
    private final Map<String, Integer> mCleared = new HashMap<>();

    /** Returns the sum over all reporters of what was stated and not cleared. */
    int sum() {
        int sum = 0;
        for (Map.Entry<String, Integer> stated : mStated.entrySet()) {
            sum += stated.getValue() - mCleared.getOrDefault(stated.getKey(), 0);
        }
        return sum;
    }

    /** Returns the count that a reporter has stated. */
    int of(String reporter) {
        return mStated.getOrDefault(reporter, 0);
    }

    /** Takes a reporter's count if it is higher than the last one, and returns whether it is. */
    boolean raise(String reporter, int count) {
        boolean higher = count > of(reporter);
        if (higher) {
            mStated.put(reporter, count);
        }
        return higher;
    }

    /** Clears all that was stated so far. */
    void clear() {
        mCleared.putAll(mStated);
    }
}
