package org.foxtailmoor.scenarios.processes;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.foxtailmoor.standins.load.Verdict;

/** Checks the history of the callers against the executions that the targets recorded. */
final class HistoryChecker {
    private final List<CallRecord> mHistory;
    private final Map<String, Integer> mExecutionsByKey = new HashMap<>();
    private final Set<String> mExecutedIds = new HashSet<>();

    /**
     * Creates a checker.
     *
     * @param history finished attempts of the callers
     * @param executions the targets' answer to {@code /control/executions}
     */
    HistoryChecker(List<CallRecord> history, JsonNode executions) {
        mHistory = history;
        if (executions.get("dropped").asLong() > 0) {
            throw new IllegalStateException("the targets did not record every execution");
        }
        for (JsonNode execution : executions.get("executions")) {
            String key = execution.get("key").asText();
            if (!key.isEmpty()) {
                mExecutionsByKey.merge(key, 1, Integer::sum);
            }
            mExecutedIds.add(execution.get("request").asText());
        }
    }

    /** Returns the idempotency keys that were executed more than once. */
    List<String> duplicateExecutions() {
        return mExecutionsByKey.entrySet().stream()
                .filter(entry -> entry.getValue() > 1)
                .map(entry -> entry.getKey() + " was executed " + entry.getValue() + " times")
                .toList();
    }

    /** Returns the attempts that were answered as not run although a target executed them. */
    List<String> executedDespiteNotRun() {
        List<String> violations = new ArrayList<>();
        for (CallRecord record : mHistory) {
            if (record.verdict() == Verdict.NOT_RUN
                    && mExecutedIds.contains(record.request().id())) {
                violations.add(record.toString());
            }
        }
        return violations;
    }

    /** Returns the acknowledged requests with an idempotency key that no target executed. */
    List<String> acknowledgedButNotExecuted() {
        List<String> violations = new ArrayList<>();
        for (CallRecord record : mHistory) {
            boolean acknowledged =
                    record.request().key() != null && record.verdict() == Verdict.RIGHT;
            if (acknowledged && !mExecutionsByKey.containsKey(record.request().key().toString())) {
                violations.add(record.toString());
            }
        }
        return violations;
    }

    /** Returns the attempts with a successful status whose answer is truncated or incorrect. */
    List<String> falseSuccesses() {
        return mHistory.stream()
                .filter(CallRecord::isFalseSuccess)
                .map(CallRecord::toString)
                .toList();
    }
}
