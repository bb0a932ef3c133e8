package org.foxtailmoor.core.routing;

import io.netty.util.concurrent.Ticker;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.core.admission.UsualServiceTimes;
import org.foxtailmoor.protocol.generated.Load;

/**
 * State of each upstream as seen by the entry node: load, failures, leaving mark and link state.
 * Confined to the data loop. Reports about unknown ids are ignored.
 */
public final class UpstreamTable {
    /**
     * Minimum time between two runs of the systems. Loads decay over seconds, and a run over 2,900
     * upstreams takes about 80 microseconds, too much for every 20 ms tick.
     */
    private static final long RUN_INTERVAL_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(100);

    /**
     * Time for which a report that a target is down holds. An open link repeats it with each answer
     * to a ping.
     */
    static final long TARGET_DOWN_NANOSECONDS = TimeUnit.SECONDS.toNanos(2);

    private static final double PERCENT = 100;

    /** Bounds of a reported work time, so that a wrong report cannot attract or repel all work. */
    private static final int MIN_WORK_TIME_PERCENT = 10;

    private static final int MAX_WORK_TIME_PERCENT = 1_000;

    /** Inverse weight of a new sample in the smoothed round trip time, as in TCP. */
    private static final int ROUND_TRIP_SMOOTHING_DIVISOR = 8;

    private final Ticker mTicker;
    private final RegionLinks mRegionLinks;
    private final List<UpstreamSystem> mSystems =
            List.of(new LoadDecaySystem(), new SlowStartSystem(), new EjectionSystem());
    private final UsualServiceTimes mUsual = new UsualServiceTimes();
    private Map<String, UpstreamRow> mRows = new HashMap<>();
    private Map<String, ServiceRows> mServices = new HashMap<>();
    private RoutingSnapshot mSnapshot;
    private long mRunNanoseconds;

    private UpstreamTable(Ticker ticker, RegionLinks regionLinks) {
        mTicker = Objects.requireNonNull(ticker, "ticker");
        mRegionLinks = regionLinks;
    }

    /** Creates an empty table without link budgets on a ticker, which must not be null. */
    public static UpstreamTable of(Ticker ticker) {
        return new UpstreamTable(ticker, null);
    }

    /**
     * Creates an empty table.
     *
     * @param ticker monotonic clock, not null
     * @param regionLinks budgets of the links to other regions, not null; adjusted by this table
     */
    public static UpstreamTable of(Ticker ticker, RegionLinks regionLinks) {
        return new UpstreamTable(ticker, Objects.requireNonNull(regionLinks, "regionLinks"));
    }

    /**
     * Adds rows for new upstreams and removes those of upstreams that the snapshot does not
     * contain. Upstreams of the first snapshot skip slow start. A snapshot that is not newer than
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
                    row.mWarmUpEndNanoseconds =
                            now + TimeUnit.MILLISECONDS.toNanos(upstream.warmUpMilliseconds());
                }
                rows.put(row.mId, row);
                service.mRows.add(row);
            }
            services.put(view.id(), service);
        }
        mRows = rows;
        mServices = services;
        updateRegionLinks(snapshot);
        runSystems(now);
    }

    private void updateRegionLinks(RoutingSnapshot snapshot) {
        if (mRegionLinks == null) {
            return;
        }
        Set<String> regions = new HashSet<>();
        for (ServiceView view : snapshot.services().values()) {
            for (Upstream upstream : view.upstreams()) {
                regions.add(upstream.region());
            }
        }
        mRegionLinks.retain(regions, mRows.keySet());
        for (ServiceView view : snapshot.services().values()) {
            for (Upstream upstream : view.upstreams()) {
                mRows.get(upstream.id()).mRegionLink = mRegionLinks.budget(upstream.region());
            }
        }
    }

    /** Updates load decay, slow start and ejections of all rows, at most every 100 ms. */
    public void tick() {
        long now = mTicker.nanoTime();
        if (now - mRunNanoseconds >= RUN_INTERVAL_NANOSECONDS) {
            runSystems(now);
            if (mRegionLinks != null) {
                mRegionLinks.tick();
            }
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

    /** Records the load reported with a response or refusal; ignored if it states no slots. */
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
        row.mBodyWaitNanoseconds =
                TimeUnit.MILLISECONDS.toNanos(
                        Integer.toUnsignedLong(load.getBodyWaitMilliseconds()));
        if (load.getWorkTimePercent() > 0) {
            row.mWorkTimePercent =
                    Math.max(
                            MIN_WORK_TIME_PERCENT,
                            Math.min(MAX_WORK_TIME_PERCENT, load.getWorkTimePercent()));
        }
        row.mFailureShare = load.getFailurePercent() / PERCENT;
        setTargetDown(row, load.getTargetDown());
        row.mReportedLoad = (double) (load.getRunning() + load.getQueued()) / row.mSlots;
        row.mDecayedLoad = row.mReportedLoad;
        row.mReportedNanoseconds = mTicker.nanoTime();
        row.mOutstandingAtReport = row.mOutstanding;
    }

    /**
     * Records how long a request ran at the target of an upstream, without its wait and transfer.
     * Call after {@link #reportLoad} with the load of the same answer.
     *
     * @param id id of the upstream
     * @param kind kind of the request, not null
     * @param nanoseconds time at the target, above 0
     */
    public void reportServiceTime(String id, String kind, long nanoseconds) {
        UpstreamRow row = mRows.get(id);
        if (row != null) {
            long now = mTicker.nanoTime();
            double normalized = nanoseconds / row.workTimeRatio(now);
            row.mDeviation.add(mUsual.add(kind, normalized, now), now);
            row.mMeasuredNanoseconds = now;
        }
    }

    /** Returns the usual time of a kind of request at a target in nanoseconds, 0 if unknown. */
    public double usualServiceNanoseconds(String kind) {
        return mUsual.nanoseconds(kind);
    }

    /**
     * Records whether the target of an upstream accepts connections. A target that is back gets
     * requests at once, because its home has connected to it.
     */
    public void reportTargetDown(String id, boolean down) {
        UpstreamRow row = mRows.get(id);
        if (row != null) {
            setTargetDown(row, down);
        }
    }

    private void setTargetDown(UpstreamRow row, boolean down) {
        if (row.mTargetDown && !down) {
            row.mFailures = 0;
            row.mEjected = false;
        }
        row.mTargetDown = down;
        row.mTargetDownUntilNanoseconds = mTicker.nanoTime() + TARGET_DOWN_NANOSECONDS;
    }

    /** Records a round trip time measured on the link to an upstream. */
    public void reportRoundTrip(String id, long nanoseconds) {
        UpstreamRow row = mRows.get(id);
        if (row != null) {
            long known = row.mRoundTripNanoseconds;
            row.mRoundTripNanoseconds =
                    known == 0
                            ? nanoseconds
                            : known + (nanoseconds - known) / ROUND_TRIP_SMOOTHING_DIVISOR;
            if (row.mRegionLink != null) {
                mRegionLinks.recordRoundTrip(row.mRegionLink, id, nanoseconds);
            }
        }
    }

    /**
     * Records that a request was placed at an upstream.
     *
     * @param id id of the upstream
     * @param bytes size of its request body and expected response body
     */
    public void reportBodiesPlaced(String id, long bytes) {
        UpstreamRow row = mRows.get(id);
        if (row != null && row.mRegionLink != null) {
            row.mRegionLink.recordPlaced(bytes, mTicker.nanoTime());
        }
    }

    /** Records a failure, which ejects the upstream with exponential backoff. */
    public void reportFailure(String id) {
        UpstreamRow row = mRows.get(id);
        if (row != null) {
            EjectionSystem.eject(row, mTicker.nanoTime());
        }
    }

    /** Records a success, which ends the ejection and resets its backoff. */
    public void reportSuccess(String id) {
        UpstreamRow row = mRows.get(id);
        if (row != null) {
            row.mFailures = 0;
            row.mEjected = false;
        }
    }

    /**
     * Marks an upstream that sent GoingAway or refused with LEAVING. The mark ends after 2 s or
     * when a new link to the upstream opens.
     */
    public void markLeaving(String id) {
        UpstreamRow row = mRows.get(id);
        if (row != null) {
            EjectionSystem.markLeaving(row, mTicker.nanoTime());
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
            row.mEjected = false;
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

    /** Returns whether the link to an upstream failed and the upstream is still ejected. */
    public boolean isUnreachable(String id) {
        UpstreamRow row = mRows.get(id);
        return row != null && row.mLinkState == LinkState.FAILED && row.mEjected;
    }

    /** Records the start of an attempt that this node sends to an upstream. */
    public void attemptStarted(String id) {
        UpstreamRow row = mRows.get(id);
        if (row != null) {
            row.mOutstanding++;
        }
    }

    /** Records the end of an attempt that this node sent to an upstream. */
    public void attemptEnded(String id) {
        UpstreamRow row = mRows.get(id);
        if (row != null && row.mOutstanding > 0) {
            row.mOutstanding--;
        }
    }

    /**
     * Returns the estimated load of an upstream as a fraction of its slots, at least 0. Without a
     * report, the estimate is based on the mean of the service; it is 0 for an unknown id.
     */
    public double load(String id) {
        UpstreamRow row = mRows.get(id);
        return row == null ? 0 : row.load();
    }

    /** Returns the current ticker time. */
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
