package org.foxtailmoor.core.routing;

import io.netty.util.concurrent.Ticker;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.protocol.generated.Load;

/**
 * Holds what the entry knows about each upstream: load, failures, leaving marks and link state.
 * Belongs to the data loop. Reports about an unknown id are ignored.
 */
public final class UpstreamTable {
    /**
     * Least time between two runs of the systems. Loads decay over seconds, and a run over 2,900
     * upstreams takes about 80 microseconds, which is too much for each tick of 20 ms.
     */
    private static final long RUN_INTERVAL_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(100);

    private static final double PERCENT = 100;

    /** Weight of a new round trip is one part in so many, as in TCP's smoothed round trip time. */
    private static final int ROUND_TRIP_SMOOTHING = 8;

    private final Ticker mTicker;
    private final List<UpstreamSystem> mSystems =
            List.of(new LoadDecaySystem(), new SlowStartSystem(), new AvoidanceSystem());
    private Map<String, UpstreamRow> mRows = new HashMap<>();
    private Map<String, ServiceRows> mServices = new HashMap<>();
    private RoutingSnapshot mSnapshot;
    private long mRunNanoseconds;

    private UpstreamTable(Ticker ticker) {
        mTicker = Objects.requireNonNull(ticker, "ticker");
    }

    /** Creates an empty table on a ticker, which must not be null. */
    public static UpstreamTable of(Ticker ticker) {
        return new UpstreamTable(ticker);
    }

    /**
     * Adds rows for new upstreams and removes rows of those that left the snapshot. Upstreams of
     * the first update count as warm; later ones get slow start. A snapshot that is not newer than
     * the last one has no effect.
     *
     * @param snapshot snapshot in force, not null
     */
    public void update(RoutingSnapshot snapshot) {
        if (snapshot == mSnapshot || (mSnapshot != null && !snapshot.isNewerThan(mSnapshot))) {
            return;
        }
        boolean first = mSnapshot == null;
        mSnapshot = snapshot;
        Map<String, UpstreamRow> rows = new HashMap<>();
        Map<String, ServiceRows> services = new HashMap<>();
        long now = mTicker.nanoTime();
        for (ServiceView view : snapshot.services().values()) {
            ServiceRows service = new ServiceRows();
            int slowStart = view.definition().body().getSlowStartMilliseconds();
            service.mSlowStartNanoseconds = TimeUnit.MILLISECONDS.toNanos(slowStart);
            int slots = view.definition().body().getSlots();
            for (Upstream upstream : view.upstreams()) {
                UpstreamRow row = mRows.get(upstream.id());
                if (row == null) {
                    int known = upstream.slots() > 0 ? upstream.slots() : slots;
                    row = new UpstreamRow(upstream.id(), known, now, first);
                    row.mWarmNanoseconds =
                            now + TimeUnit.MILLISECONDS.toNanos(upstream.warmUpMilliseconds());
                }
                rows.put(row.mId, row);
                service.mRows.add(row);
            }
            services.put(view.id(), service);
        }
        mRows = rows;
        mServices = services;
        runSystems(now);
    }

    /**
     * Runs the systems over all rows, at most every 100 ms: load decay, slow start and the end of
     * avoidance.
     */
    public void tick() {
        long now = mTicker.nanoTime();
        if (now - mRunNanoseconds >= RUN_INTERVAL_NANOSECONDS) {
            runSystems(now);
        }
    }

    /** Runs the systems over all rows at a ticker time. */
    void runSystems(long nowNanoseconds) {
        mRunNanoseconds = nowNanoseconds;
        for (ServiceRows service : mServices.values()) {
            for (UpstreamSystem system : mSystems) {
                system.run(service, nowNanoseconds);
            }
        }
    }

    /** Records the load that an answer or refusal carried. A load without slots is ignored. */
    public void reportLoad(String id, Load load) {
        UpstreamRow row = mRows.get(id);
        if (row == null || load.getSlots() <= 0) {
            return;
        }
        row.mHasLoad = true;
        row.mSlots = load.getSlots();
        if (load.getServiceTimeMicroseconds() > 0) {
            row.mServiceNanoseconds =
                    TimeUnit.MICROSECONDS.toNanos(load.getServiceTimeMicroseconds());
        }
        row.mFailureShare = load.getFailurePercent() / PERCENT;
        row.mReportedLoad = (double) (load.getRunning() + load.getQueued()) / row.mSlots;
        row.mDecayedLoad = row.mReportedLoad;
        row.mReportedNanoseconds = mTicker.nanoTime();
        row.mOutstandingAtReport = row.mOutstanding;
    }

    /** Records the round trip of a message over the link to an upstream. */
    public void reportRoundTrip(String id, long nanoseconds) {
        UpstreamRow row = mRows.get(id);
        if (row != null) {
            long known = row.mRoundTripNanoseconds;
            row.mRoundTripNanoseconds =
                    known == 0 ? nanoseconds : known + (nanoseconds - known) / ROUND_TRIP_SMOOTHING;
        }
    }

    /** Records a failure, after which the upstream is avoided for a time that grows. */
    public void reportFailure(String id) {
        UpstreamRow row = mRows.get(id);
        if (row != null) {
            AvoidanceSystem.failed(row, mTicker.nanoTime());
        }
    }

    /** Records a success, which ends the avoidance after failures. */
    public void reportSuccess(String id) {
        UpstreamRow row = mRows.get(id);
        if (row != null) {
            row.mFailures = 0;
            row.mAvoided = false;
        }
    }

    /**
     * Marks an upstream that said GoingAway or refused as LEAVING. The mark ends after 35 s, or
     * when a new link to the upstream opens.
     */
    public void markLeaving(String id) {
        UpstreamRow row = mRows.get(id);
        if (row != null) {
            AvoidanceSystem.leaving(row, mTicker.nanoTime());
        }
    }

    /** Records the state of the link to an upstream; FAILED also counts as a failure. */
    public void setLinkState(String id, LinkState state) {
        UpstreamRow row = mRows.get(id);
        if (row == null) {
            return;
        }
        boolean opened =
                state == LinkState.OPEN
                        && row.mLinkState != LinkState.OPEN
                        && row.mLinkState != LinkState.DOUBTFUL;
        if (opened) {
            row.mLeaving = false;
            row.mAvoided = false;
        }
        row.mLinkState = state;
        if (state == LinkState.FAILED) {
            reportFailure(id);
        }
    }

    /** Returns the state of the link to an upstream, {@link LinkState#UNOPENED} if unknown. */
    public LinkState linkState(String id) {
        UpstreamRow row = mRows.get(id);
        return row == null ? LinkState.UNOPENED : row.mLinkState;
    }

    /** Returns whether the link to an upstream failed and may be tried again only later. */
    public boolean isUnreachable(String id) {
        UpstreamRow row = mRows.get(id);
        return row != null && row.mLinkState == LinkState.FAILED && row.mAvoided;
    }

    /** Counts an attempt that this entry has sent to an upstream. */
    public void attemptStarted(String id) {
        UpstreamRow row = mRows.get(id);
        if (row != null) {
            row.mOutstanding++;
        }
    }

    /** Counts the end of an attempt that this entry has sent to an upstream. */
    public void attemptEnded(String id) {
        UpstreamRow row = mRows.get(id);
        if (row != null && row.mOutstanding > 0) {
            row.mOutstanding--;
        }
    }

    /**
     * Returns the expected load of an upstream as a share of its slots, at least 0; the mean of its
     * service if no load is known, and 0 for an unknown id.
     */
    public double load(String id) {
        UpstreamRow row = mRows.get(id);
        return row == null ? 0 : row.load();
    }

    /** Returns the time of the table's clock. */
    long nanoTime() {
        return mTicker.nanoTime();
    }

    /** Returns the number of rows. */
    public int size() {
        return mRows.size();
    }

    /** Returns the row of an upstream, or null if the last update did not contain it. */
    UpstreamRow row(String id) {
        return mRows.get(id);
    }
}
