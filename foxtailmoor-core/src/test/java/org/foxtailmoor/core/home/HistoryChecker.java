package org.foxtailmoor.core.home;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.core.routing.IdempotencyKey;

/** Records the history of keyed requests and collects violations of "at most once". */
final class HistoryChecker {
    private final Map<IdempotencyKey, List<String>> mRunsByKey = new HashMap<>();
    private final Set<Object> mRequestsRun = new HashSet<>();
    private final Map<IdempotencyKey, String> mAnswers = new HashMap<>();
    private final Map<ErrorKind, Integer> mRefusals = new HashMap<>();
    private final List<String> mViolations = new ArrayList<>();
    private int mReplays;

    void recordRun(Object request, IdempotencyKey key, String where) {
        mRequestsRun.add(request);
        List<String> runs = mRunsByKey.computeIfAbsent(key, k -> new ArrayList<>());
        runs.add(where);
        if (runs.size() > 1) {
            mViolations.add("key ran more than once: " + key + " " + runs);
        }
    }

    void recordAnswer(IdempotencyKey key, String body) {
        String first = mAnswers.putIfAbsent(key, body);
        if (first != null) {
            mReplays++;
        }
        if (first != null && !first.equals(body)) {
            mViolations.add("answers differ: " + key + " " + first + " and " + body);
        }
        if (!mRunsByKey.containsKey(key)) {
            mViolations.add("answer without a run: " + key);
        }
    }

    void recordRefusal(Object request, IdempotencyKey key, ErrorKind kind) {
        mRefusals.merge(kind, 1, Integer::sum);
        if (kind.isNotRun() && mRequestsRun.contains(request)) {
            mViolations.add("answered " + kind + " but ran: " + key);
        }
    }

    List<String> violations() {
        return mViolations;
    }

    int keysRun() {
        return mRunsByKey.size();
    }

    int replays() {
        return mReplays;
    }

    Map<ErrorKind, Integer> refusals() {
        return mRefusals;
    }
}
