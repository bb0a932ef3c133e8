package org.foxtailmoor.standins.target;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/** Records every execution of a non-idempotent request. Not safe for several threads. */
final class ExecutionLog {
    /** Bound on memory, about 200 bytes each. */
    private static final int CAPACITY = 1_000_000;

    /** How an execution ended. */
    enum Outcome {
        RUNNING,
        DONE,
        CANCELLED,
        DEADLINE,
        CRASHED
    }

    /** One execution. */
    static final class Execution {
        private final String mTargetId;
        private final String mRequestId;
        private final String mKey;
        private final String mPath;
        private Outcome mOutcome = Outcome.RUNNING;

        private Execution(String targetId, String requestId, String key, String path) {
            mTargetId = targetId;
            mRequestId = requestId;
            mKey = key;
            mPath = path;
        }

        void end(Outcome outcome) {
            mOutcome = outcome;
        }
    }

    private final List<Execution> mExecutions = new ArrayList<>();
    private long mDropped;

    /** Records the start of an execution; beyond the capacity only the number is kept. */
    Execution start(String targetId, String requestId, String key, String path) {
        Execution execution = new Execution(targetId, requestId, key, path);
        if (mExecutions.size() < CAPACITY) {
            mExecutions.add(execution);
        } else {
            mDropped++;
        }
        return execution;
    }

    void reset() {
        mExecutions.clear();
        mDropped = 0;
    }

    /** Returns the executions in the order of their start, and the number of those not kept. */
    ObjectNode toJson() {
        ObjectNode json = JsonNodeFactory.instance.objectNode().put("dropped", mDropped);
        ArrayNode executions = json.putArray("executions");
        for (Execution execution : mExecutions) {
            executions
                    .addObject()
                    .put("target", execution.mTargetId)
                    .put("request", execution.mRequestId)
                    .put("key", execution.mKey)
                    .put("path", execution.mPath)
                    .put("outcome", execution.mOutcome.name());
        }
        return json;
    }
}
