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

/** Polls the status of every node and reports versions that fall. */
final class VersionWatch implements AutoCloseable {
    private static final long INTERVAL_MILLISECONDS = 100;
    private static final int STATUS_OK = 200;

    private final ProcessFleet mFleet;
    private final Map<Long, Seen> mSeen = new HashMap<>();
    private final List<String> mFaults = new CopyOnWriteArrayList<>();
    private final ScheduledExecutorService mPoller = Executors.newSingleThreadScheduledExecutor();
    private long mHighest;

    /** What one process has shown. */
    private static final class Seen {
        private final long mFloor;
        private long mNumber;
        private boolean mReady;
        private boolean mAsked;
        private int mAnswers;

        /** Creates the state of a process that began when the fleet held a version. */
        private Seen(long floor) {
            mFloor = floor;
        }
    }

    VersionWatch(ProcessFleet fleet) {
        mFleet = fleet;
        mPoller.scheduleWithFixedDelay(this::poll, 0, INTERVAL_MILLISECONDS, TimeUnit.MILLISECONDS);
    }

    /** Returns what is wrong, in the order of its observation. */
    List<String> faults() {
        return List.copyOf(mFaults);
    }

    /** Returns the highest version that any node has shown. */
    synchronized long highest() {
        return mHighest;
    }

    /** Returns whether the present process of a node has been seen ready. */
    synchronized boolean isReady(String id) {
        Seen seen = mSeen.get(mFleet.process(id).pid());
        return seen != null && seen.mReady;
    }

    /** Returns how often the present process of a node has answered. */
    synchronized int answers(String id) {
        Seen seen = mSeen.get(mFleet.process(id).pid());
        return seen == null ? 0 : seen.mAnswers;
    }

    @Override
    public void close() {
        mPoller.shutdownNow();
    }

    private synchronized void poll() {
        for (NodePlan plan : mFleet.plans()) {
            long pid = mFleet.process(plan.id()).pid();
            Seen seen = mSeen.computeIfAbsent(pid, absent -> new Seen(mHighest));
            if (seen.mAsked) {
                continue;
            }
            seen.mAsked = true;
            mFleet.client()
                    .get(plan.admin(), "/status")
                    .whenComplete((answer, failure) -> onAnswer(plan.id(), seen, answer));
        }
    }

    private synchronized void onAnswer(String id, Seen seen, HttpAnswer answer) {
        seen.mAsked = false;
        if (answer == null || answer.status() != STATUS_OK) {
            return;
        }
        JsonNode status = JsonRecords.parse(answer.body());
        long number = status.get("catalogue").get("number").asLong();
        if (number < seen.mNumber) {
            mFaults.add(id + " fell from version " + seen.mNumber + " to " + number);
        }
        boolean ready = status.get("ready").asBoolean();
        if (ready && !seen.mReady && number < seen.mFloor) {
            mFaults.add(id + " is ready with " + number + ", others hold " + seen.mFloor);
        }
        seen.mAnswers++;
        seen.mReady |= ready;
        seen.mNumber = Math.max(seen.mNumber, number);
        mHighest = Math.max(mHighest, number);
    }
}
