package org.foxtailmoor.scenarios.processes;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.standins.fleet.NodePlan;
import org.foxtailmoor.standins.http.HttpAnswer;
import org.foxtailmoor.standins.http.JsonRecords;

/** Polls the status of every node and records each decrease of its catalogue version. */
final class VersionMonitor implements AutoCloseable {
    private static final long INTERVAL_MILLISECONDS = 100;
    private static final int STATUS_OK = 200;

    private final ProcessFleet mFleet;
    private final Map<Long, ProcessState> mStates = new HashMap<>();
    private final List<String> mViolations = new CopyOnWriteArrayList<>();
    private final ScheduledExecutorService mPoller = Executors.newSingleThreadScheduledExecutor();
    private long mHighestNumber;

    /** The observed state of one process. */
    private static final class ProcessState {
        private final long mMinimumNumber;
        private long mNumber;
        private boolean mReady;
        private boolean mRequestPending;
        private int mAnswers;

        /** Creates the state of a process, which must not become ready below a version. */
        private ProcessState(long minimumNumber) {
            mMinimumNumber = minimumNumber;
        }
    }

    VersionMonitor(ProcessFleet fleet) {
        mFleet = fleet;
        mPoller.scheduleWithFixedDelay(this::poll, 0, INTERVAL_MILLISECONDS, TimeUnit.MILLISECONDS);
    }

    /** Returns the violations in the order of their observation. */
    List<String> violations() {
        return List.copyOf(mViolations);
    }

    /** Returns the highest version that any node has reported. */
    synchronized long highestNumber() {
        return mHighestNumber;
    }

    /** Returns whether the current process of a node has reported that it is ready. */
    synchronized boolean isReady(String id) {
        ProcessState state = mStates.get(mFleet.process(id).pid());
        return state != null && state.mReady;
    }

    /** Returns the number of answers from the current process of a node. */
    synchronized int answers(String id) {
        ProcessState state = mStates.get(mFleet.process(id).pid());
        return state == null ? 0 : state.mAnswers;
    }

    @Override
    public void close() {
        mPoller.shutdownNow();
    }

    private synchronized void poll() {
        for (NodePlan plan : mFleet.plans()) {
            long pid = mFleet.process(plan.id()).pid();
            ProcessState state =
                    mStates.computeIfAbsent(pid, absent -> new ProcessState(mHighestNumber));
            if (state.mRequestPending) {
                continue;
            }
            state.mRequestPending = true;
            mFleet.client()
                    .get(plan.admin(), "/status")
                    .whenComplete((answer, failure) -> onAnswer(plan.id(), state, answer));
        }
    }

    private synchronized void onAnswer(String id, ProcessState state, HttpAnswer answer) {
        state.mRequestPending = false;
        if (answer == null || answer.status() != STATUS_OK) {
            return;
        }
        JsonNode status = JsonRecords.parse(answer.body());
        long number = status.get("catalogue").get("number").asLong();
        if (number < state.mNumber) {
            mViolations.add(id + ": version decreased from " + state.mNumber + " to " + number);
        }
        boolean ready = status.get("ready").asBoolean();
        if (ready && !state.mReady && number < state.mMinimumNumber) {
            mViolations.add(
                    id + " is ready with " + number + ", others hold " + state.mMinimumNumber);
        }
        state.mAnswers++;
        state.mReady |= ready;
        state.mNumber = Math.max(state.mNumber, number);
        mHighestNumber = Math.max(mHighestNumber, number);
    }
}
