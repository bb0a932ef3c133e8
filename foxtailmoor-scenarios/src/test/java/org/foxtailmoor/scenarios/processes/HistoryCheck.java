package org.foxtailmoor.scenarios.processes;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.foxtailmoor.standins.load.Verdict;

/** Compares what callers saw with what the targets executed, by key and by attempt. */
final class HistoryCheck {
    private final List<CallRecord> mHistory;
    private final Map<String, Integer> mRunsByKey = new HashMap<>();
    private final Set<String> mRunIds = new HashSet<>();

    /**
     * Creates a check.
     *
     * @param history attempts of callers
     * @param executions the targets' answer to {@code /control/executions}
     */
    HistoryCheck(List<CallRecord> history, JsonNode executions) {
        mHistory = history;
        if (executions.get("dropped").asLong() > 0) {
            throw new IllegalStateException("the targets did not record every execution");
        }
        for (JsonNode execution : executions.get("executions")) {
            String key = execution.get("key").asText();
            if (!key.isEmpty()) {
                mRunsByKey.merge(key, 1, Integer::sum);
            }
            mRunIds.add(execution.get("request").asText());
        }
    }

    /** Returns keys that ran more than once. */
    List<String> doubled() {
        return mRunsByKey.entrySet().stream()
                .filter(runs -> runs.getValue() > 1)
                .map(runs -> runs.getKey() + " ran " + runs.getValue() + " times")
                .toList();
    }

    /** Returns attempts that were answered "not run" and that a target executed. */
    List<String> falselyNotRun() {
        List<String> faults = new ArrayList<>();
        for (CallRecord record : mHistory) {
            if (record.verdict() == Verdict.NOT_RUN && mRunIds.contains(record.request().id())) {
                faults.add(record.toString());
            }
        }
        return faults;
    }

    /** Returns acknowledged keyed requests that no target executed. */
    List<String> lost() {
        List<String> faults = new ArrayList<>();
        for (CallRecord record : mHistory) {
            boolean acknowledged =
                    record.request().key() != null && record.verdict() == Verdict.RIGHT;
            if (acknowledged && !mRunsByKey.containsKey(record.request().key().toString())) {
                faults.add(record.toString());
            }
        }
        return faults;
    }

    /** Returns answers that the caller took for whole and that are not the right ones. */
    List<String> falseSuccesses() {
        return mHistory.stream()
                .filter(CallRecord::isFalseSuccess)
                .map(CallRecord::toString)
                .toList();
    }
}
