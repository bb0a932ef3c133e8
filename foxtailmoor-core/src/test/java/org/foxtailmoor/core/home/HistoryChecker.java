package org.foxtailmoor.core.home;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.core.routing.IdempotencyKey;

/** Records runs and answers of keyed requests and lists what contradicts "at most once". */
final class HistoryChecker {
    private final Map<IdempotencyKey, List<String>> mRunsByKey = new HashMap<>();
    private final Set<Object> mRun = new HashSet<>();
    private final Map<IdempotencyKey, String> mAnswers = new HashMap<>();
    private final Map<ErrorKind, Integer> mRefusals = new HashMap<>();
    private final List<String> mFaults = new ArrayList<>();
    private int mReplays;

    void ran(Object request, IdempotencyKey key, String where) {
        mRun.add(request);
        List<String> runs = mRunsByKey.computeIfAbsent(key, k -> new ArrayList<>());
        runs.add(where);
        if (runs.size() > 1) {
            mFaults.add("key ran more than once: " + key + " " + runs);
        }
    }

    void answered(IdempotencyKey key, String body) {
        String first = mAnswers.putIfAbsent(key, body);
        if (first != null) {
            mReplays++;
        }
        if (first != null && !first.equals(body)) {
            mFaults.add("answers differ: " + key + " " + first + " and " + body);
        }
        if (!mRunsByKey.containsKey(key)) {
            mFaults.add("answer without a run: " + key);
        }
    }

    void refused(Object request, IdempotencyKey key, ErrorKind kind) {
        mRefusals.merge(kind, 1, Integer::sum);
        if (kind.isNotRun() && mRun.contains(request)) {
            mFaults.add("answered " + kind + " but ran: " + key);
        }
    }

    List<String> faults() {
        return mFaults;
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
