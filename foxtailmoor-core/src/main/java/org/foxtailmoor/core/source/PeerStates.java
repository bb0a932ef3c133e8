package org.foxtailmoor.core.source;

import io.netty.util.concurrent.Ticker;
import java.util.Collection;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.core.source.SourceRanking.Source;
import org.foxtailmoor.core.source.SourceRanking.State;

/**
 * Remembers what is known against the peers of a node: failed reads, outdated responses and reads
 * that are late. Confined to the control loop.
 */
final class PeerStates {
    /** Time after a failure before a node whose copy is outdated asks the peer again. */
    static final long FAILED_RETRY_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(400);

    /**
     * Time after which a peer whose response is late is read once more, on another connection, if
     * there is no other source.
     */
    static final long REPEAT_LATE_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);

    private static final int MAX_CALLS_PER_PEER = 2;

    /**
     * Failed read of a peer.
     *
     * @param atNanoseconds time of the failure
     * @param retryNanoseconds time until which the peer is not asked
     * @param endNanoseconds time until which other sources are preferred
     */
    private record Failure(long atNanoseconds, long retryNanoseconds, long endNanoseconds) {}

    private final Ticker mTicker;
    private final Map<String, Failure> mFailures = new HashMap<>();
    private final Map<String, Long> mOutdated = new HashMap<>();

    /** Start times by call; the same peer may be read twice with equal parameters. */
    private final Map<StoreReplica.Call, Long> mLateCalls = new IdentityHashMap<>();

    PeerStates(Ticker ticker) {
        mTicker = ticker;
    }

    /** Forgets the failures and ages of other hosts. */
    void retainAll(Collection<String> hosts) {
        mFailures.keySet().retainAll(hosts);
        mOutdated.keySet().retainAll(hosts);
    }

    /** Records a failed read, after which other sources are preferred for a time. */
    void onFailed(String host, long pauseNanoseconds) {
        long now = mTicker.nanoTime();
        long retry = Math.min(pauseNanoseconds, FAILED_RETRY_NANOSECONDS);
        mFailures.put(host, new Failure(now, now + retry, now + pauseNanoseconds));
    }

    /** Records a response. */
    void onResponse(String host, boolean outdated) {
        mFailures.remove(host);
        if (outdated) {
            mOutdated.put(host, mTicker.nanoTime());
        }
    }

    /** Forgets which peers were outdated, because the node has found a current source. */
    void clearOutdated() {
        mOutdated.clear();
    }

    /** Records that another source is read while a call is pending. */
    void addLate(StoreReplica.Call call, long startNanoseconds) {
        mLateCalls.put(call, startNanoseconds);
    }

    /** Records the end of a late call. */
    void removeLate(StoreReplica.Call call) {
        mLateCalls.remove(call);
    }

    /** Returns whether a call is late and still pending. */
    boolean isLate(StoreReplica.Call call) {
        return mLateCalls.containsKey(call);
    }

    /** Returns the number of calls that are late and still pending. */
    int lateCalls() {
        return mLateCalls.size();
    }

    /** Returns whether a read of the store is late and still pending. */
    boolean isStoreLate() {
        for (StoreReplica.Call call : mLateCalls.keySet()) {
            if (call instanceof StoreReplica.Call.ReadStore) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether a node reaches its peers. */
    DirectReadSchedule.Reach reachOf(ReadOrder order) {
        if (haveAllFailed(order.peers())) {
            return DirectReadSchedule.Reach.NONE;
        }
        for (String source : order.sources()) {
            if (!source.equals(ReadOrder.STORE) && !hasFailed(source) && !isLate(source)) {
                return DirectReadSchedule.Reach.SOME;
            }
        }
        return DirectReadSchedule.Reach.LATE;
    }

    /**
     * Returns the state of a peer that is not being read or whose read is late.
     *
     * @param host host of the peer
     * @param lastResort whether peers are to be asked whose last read has failed or is late
     */
    Source stateOf(String host, boolean lastResort) {
        int calls = 0;
        long latest = 0;
        for (Map.Entry<StoreReplica.Call, Long> late : mLateCalls.entrySet()) {
            if (reads(late.getKey(), host)) {
                latest = calls == 0 ? late.getValue() : later(latest, late.getValue());
                calls++;
            }
        }
        long now = mTicker.nanoTime();
        if (calls > 0 && hasFailed(host)) {
            // A read beside the late one has failed; without a pause it would be repeated at once.
            Failure failure = mFailures.get(host);
            if (now - failure.retryNanoseconds() < 0) {
                return Source.UNAVAILABLE;
            }
            latest = later(latest, failure.atNanoseconds());
        }
        if (calls > 0) {
            boolean repeat = calls < MAX_CALLS_PER_PEER && now - latest >= REPEAT_LATE_NANOSECONDS;
            return lastResort && repeat ? new Source(State.SUSPECT, latest) : Source.UNAVAILABLE;
        }
        if (hasFailed(host)) {
            Failure failure = mFailures.get(host);
            return lastResort && now - failure.retryNanoseconds() >= 0
                    ? new Source(State.SUSPECT, failure.atNanoseconds())
                    : Source.UNAVAILABLE;
        }
        Long outdated = mOutdated.get(host);
        return outdated == null ? Source.USABLE : new Source(State.SUSPECT, outdated);
    }

    private boolean haveAllFailed(Collection<String> hosts) {
        for (String host : hosts) {
            if (!hasFailed(host)) {
                return false;
            }
        }
        return true;
    }

    private boolean hasFailed(String host) {
        Failure failure = mFailures.get(host);
        return failure != null && mTicker.nanoTime() - failure.endNanoseconds() < 0;
    }

    private boolean isLate(String host) {
        for (StoreReplica.Call call : mLateCalls.keySet()) {
            if (reads(call, host)) {
                return true;
            }
        }
        return false;
    }

    private static boolean reads(StoreReplica.Call call, String host) {
        return call instanceof StoreReplica.Call.ReadPeer read && read.host().equals(host);
    }

    /** Returns the later of two ticker times; comparing the difference tolerates overflow. */
    private static long later(long first, long second) {
        return first - second >= 0 ? first : second;
    }
}
