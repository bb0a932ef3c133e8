package org.foxtailmoor.standins.platform;

import io.netty.util.concurrent.EventExecutor;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.standins.platform.RevisionHistory.Publication;
import org.foxtailmoor.standins.platform.RevisionHistory.View;

/**
 * Holds what operators published and the faults in force, and wakes waiting watches.
 *
 * <p>Used only on its event loop.
 */
final class PlatformState {
    private final EventExecutor mLoop;
    private final Map<String, RevisionHistory> mValues = new HashMap<>();
    private final RevisionHistory mInstances = new RevisionHistory();
    private final Set<Runnable> mChangeListeners = new LinkedHashSet<>();
    private PlatformFaults mFaults = PlatformFaults.NONE;
    private long mValuesRevision;
    private long mInstancesRevision;
    private long mFrozenValuesRevision;
    private long mFrozenInstancesRevision;

    PlatformState(EventExecutor loop) {
        mLoop = loop;
    }

    PlatformFaults faults() {
        return mFaults;
    }

    /** Puts faults in force; staleness freezes at the moment it is first set. */
    void setFaults(PlatformFaults faults) {
        if (faults.valuesStale() && !mFaults.valuesStale()) {
            mFrozenValuesRevision = mValuesRevision;
        }
        if (faults.instancesStale() && !mFaults.instancesStale()) {
            mFrozenInstancesRevision = mInstancesRevision;
        }
        mFaults = faults;
        notifyListeners();
    }

    /** Publishes a value and returns its revision. */
    long publishValue(String key, byte[] content) {
        mValuesRevision++;
        Publication publication = new Publication(mValuesRevision, content, now());
        mValues.computeIfAbsent(key, absent -> new RevisionHistory()).add(publication);
        notifyListeners();
        return mValuesRevision;
    }

    /** Returns the revision that the next published instance list will have. */
    long nextInstancesRevision() {
        return mInstancesRevision + 1;
    }

    /** Publishes the instance list; it becomes visible after the lag in force. */
    void publishInstances(byte[] content) {
        mInstancesRevision++;
        mInstances.add(new Publication(mInstancesRevision, content, now()));
        notifyListeners();
        int lag = mFaults.instancesLagMilliseconds();
        if (lag > 0) {
            // One millisecond more, so that the rounding of the timer cannot wake watches early.
            mLoop.schedule(this::notifyListeners, lag + 1L, TimeUnit.MILLISECONDS);
        }
    }

    /** Returns what a reader sees of a value, or null if there is nothing. */
    Publication visibleValue(String key) {
        RevisionHistory history = mValues.get(key);
        if (history == null) {
            return null;
        }
        long latest = mFaults.valuesStale() ? mFrozenValuesRevision : Long.MAX_VALUE;
        return history.visible(new View(latest, now(), mFaults.valuesOlder()));
    }

    /** Returns what a reader sees of the instance list, or null if there is nothing. */
    Publication visibleInstances() {
        long latest = mFaults.instancesStale() ? mFrozenInstancesRevision : Long.MAX_VALUE;
        long lag = TimeUnit.MILLISECONDS.toNanos(mFaults.instancesLagMilliseconds());
        return mInstances.visible(new View(latest, now() - lag, mFaults.instancesOlder()));
    }

    /** Runs a listener after each publication, change of faults or end of a lag. */
    void addListener(Runnable listener) {
        mChangeListeners.add(listener);
    }

    void removeListener(Runnable listener) {
        mChangeListeners.remove(listener);
    }

    private void notifyListeners() {
        List.copyOf(mChangeListeners).forEach(Runnable::run);
    }

    private long now() {
        return mLoop.ticker().nanoTime();
    }
}
