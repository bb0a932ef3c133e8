package org.foxtailmoor.core.home;

import io.netty.util.concurrent.Ticker;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.protocol.generated.CrashReport;

/**
 * Counts target crashes per request fingerprint across the nodes of one service, to detect requests
 * that crash the target. Not thread-safe; used only on the data loop.
 *
 * <p>A fingerprint with a crash is a suspect until its request completes in isolation, or until 10
 * minutes pass without another crash. At the crash limit it is poisoned for 10 minutes from its
 * last crash; afterwards its counts restart at zero. With a limit above 1, at least one of the
 * crashes must have occurred while it was the only suspect in flight: a frequent request is in
 * flight at every crash, and would otherwise be poisoned in place of the request that causes the
 * crashes.
 *
 * <p>Crashes are counted for the content of a request and for the content together with the caller.
 * A caller may use any node, so that the service of the entry node alone does not identify it: a
 * request that is poisoned by its content is refused for all callers, unless this node's target has
 * answered it to one of them. It then only runs in isolation for callers whose own crashes have not
 * reached the limit.
 */
public final class CrashGuard {
    /** Duration for which a crash counts, and for which a fingerprint stays poisoned. */
    public static final long CRASH_RETENTION_NANOSECONDS = TimeUnit.MINUTES.toNanos(10);

    /** Maximum number of local reports sent at once. */
    public static final int REPORT_LIMIT = 32;

    /** Maximum number of tracked fingerprints; the least recently changed one is evicted first. */
    public static final int FINGERPRINT_LIMIT = 1_000;

    /**
     * Duration after which an unchanged record is removed. Longer than the time for which a
     * reporter sends its count, so that a count that has expired here is not mistaken for a new
     * one.
     */
    private static final long RECORD_RETENTION_NANOSECONDS = 3 * CRASH_RETENTION_NANOSECONDS;

    /** Status of a fingerprint, which determines how its requests may run. */
    public enum Status {
        /** The request may run concurrently with others. */
        CLEAR,
        /** The request must run in isolation. */
        SUSPECT,
        /** The request must not run. */
        POISONED
    }

    private final Ticker mTicker;
    private final String mServiceId;
    private final String mInstanceId;
    private final Map<Fingerprint, CrashRecord> mRecords = new HashMap<>();
    private final AnsweredFingerprints mAnswered;

    private CrashGuard(Ticker ticker, String serviceId, String instanceId) {
        mTicker = Objects.requireNonNull(ticker, "ticker");
        mAnswered = new AnsweredFingerprints(ticker);
        mServiceId = Objects.requireNonNull(serviceId, "serviceId");
        mInstanceId = Objects.requireNonNull(instanceId, "instanceId");
    }

    /**
     * Creates a guard without counts.
     *
     * @param ticker clock, not null
     * @param serviceId id of the service of this node's target, not null
     * @param instanceId id of this instance, not null
     */
    public static CrashGuard of(Ticker ticker, String serviceId, String instanceId) {
        return new CrashGuard(ticker, serviceId, instanceId);
    }

    /**
     * Returns the status of a request.
     *
     * @param content fingerprint of the content, not null
     * @param withCaller fingerprint of the content and the caller, not null
     * @param crashLimit crash limit of the service; less than 1 counts as 1
     */
    public Status status(Fingerprint content, Fingerprint withCaller, int crashLimit) {
        Status ofContent = status(content, crashLimit);
        Status ofCaller = status(withCaller, crashLimit);
        boolean dependsOnCaller = mAnswered.wasAnsweredWithin(content, CRASH_RETENTION_NANOSECONDS);
        if (ofCaller == Status.POISONED || ofContent == Status.POISONED && !dependsOnCaller) {
            return Status.POISONED;
        }
        boolean clear = ofCaller == Status.CLEAR && ofContent == Status.CLEAR;
        return clear ? Status.CLEAR : Status.SUSPECT;
    }

    /**
     * Returns the status of a fingerprint.
     *
     * @param fingerprint fingerprint of the request, not null
     * @param crashLimit crash limit of the service; less than 1 counts as 1
     */
    public Status status(Fingerprint fingerprint, int crashLimit) {
        CrashRecord record = mRecords.get(fingerprint);
        if (record == null) {
            return Status.CLEAR;
        }
        expire(record, mTicker.nanoTime());
        int crashes = record.crashes();
        boolean confirmed = crashLimit <= 1 || record.crashesAsSuspect() > 0;
        if (confirmed && crashes >= Math.max(1, crashLimit)) {
            return Status.POISONED;
        }
        return crashes > 0 ? Status.SUSPECT : Status.CLEAR;
    }

    /**
     * Counts a crash of this node's target while a request was in flight.
     *
     * @param fingerprint fingerprint of the request, not null
     * @param onlySuspect whether the request was the only suspect, or the only request, in flight
     */
    public void crashed(Fingerprint fingerprint, boolean onlySuspect) {
        CrashRecord record = recordOf(fingerprint);
        expire(record, mTicker.nanoTime());
        record.applyReport(
                mInstanceId,
                record.reportedCrashes(mInstanceId) + 1,
                record.reportedCrashesAsSuspect(mInstanceId) + (onlySuspect ? 1 : 0),
                false);
        markChangedLocally(record);
    }

    /**
     * Records that this node's target has answered a request, in isolation or not.
     *
     * @param content fingerprint of the content, not null
     */
    public void answered(Fingerprint content) {
        mAnswered.add(content);
    }

    /** Clears a fingerprint whose request has been answered in isolation. */
    public void completedInIsolation(Fingerprint fingerprint) {
        CrashRecord record = mRecords.get(fingerprint);
        if (record != null && record.crashes() > 0) {
            record.clear();
            record.applyReport(
                    mInstanceId,
                    record.reportedCrashes(mInstanceId),
                    record.reportedCrashesAsSuspect(mInstanceId),
                    true);
            markChangedLocally(record);
        }
    }

    /** Merges reports of other nodes. Malformed, own and other services' reports are ignored. */
    public void merge(Collection<CrashReport> reports) {
        for (CrashReport report : reports) {
            Fingerprint fingerprint = Fingerprint.of(report.getFingerprint());
            boolean otherService = !report.getServiceId().equals(mServiceId);
            if (fingerprint == null || otherService || report.getReporter().equals(mInstanceId)) {
                continue;
            }
            CrashRecord record = recordOf(fingerprint);
            expire(record, mTicker.nanoTime());
            int crashes = Math.max(0, report.getCrashes());
            int asSuspect = Math.max(0, report.getCrashesAsSuspect());
            if (record.applyReport(
                    report.getReporter(), crashes, asSuspect, report.getExonerated())) {
                record.mChangedNanoseconds = mTicker.nanoTime();
            }
        }
    }

    /** Returns the local reports to send, newest first, at most {@link #REPORT_LIMIT}. */
    public List<CrashReport> reports() {
        long now = mTicker.nanoTime();
        List<Map.Entry<Fingerprint, CrashRecord>> local = new ArrayList<>();
        for (Map.Entry<Fingerprint, CrashRecord> entry : mRecords.entrySet()) {
            CrashRecord record = entry.getValue();
            boolean reported =
                    record.reportedCrashes(mInstanceId) > 0 || record.hasExonerated(mInstanceId);
            if (reported && now - record.mLocallyChangedNanoseconds < CRASH_RETENTION_NANOSECONDS) {
                local.add(entry);
            }
        }
        local.sort(
                Comparator.comparingLong(
                        entry -> now - entry.getValue().mLocallyChangedNanoseconds));
        List<CrashReport> reports = new ArrayList<>();
        for (Map.Entry<Fingerprint, CrashRecord> entry : local) {
            if (reports.size() < REPORT_LIMIT) {
                reports.add(report(entry.getKey(), entry.getValue()));
            }
        }
        return reports;
    }

    /** Removes expired records. Called periodically. */
    public void tick() {
        long now = mTicker.nanoTime();
        mRecords.values()
                .removeIf(
                        record -> now - record.mChangedNanoseconds >= RECORD_RETENTION_NANOSECONDS);
    }

    private CrashReport report(Fingerprint fingerprint, CrashRecord record) {
        return CrashReport.newBuilder()
                .setServiceId(mServiceId)
                .setFingerprint(fingerprint.toBytes())
                .setReporter(mInstanceId)
                .setCrashes(record.reportedCrashes(mInstanceId))
                .setCrashesAsSuspect(record.reportedCrashesAsSuspect(mInstanceId))
                .setExonerated(record.hasExonerated(mInstanceId))
                .build();
    }

    private void markChangedLocally(CrashRecord record) {
        record.mChangedNanoseconds = mTicker.nanoTime();
        record.mLocallyChangedNanoseconds = record.mChangedNanoseconds;
    }

    private static void expire(CrashRecord record, long now) {
        if (now - record.mChangedNanoseconds >= CRASH_RETENTION_NANOSECONDS) {
            record.clear();
        }
    }

    private CrashRecord recordOf(Fingerprint fingerprint) {
        CrashRecord record = mRecords.get(fingerprint);
        if (record == null) {
            if (mRecords.size() >= FINGERPRINT_LIMIT) {
                evictOldest();
            }
            record = new CrashRecord(mTicker.nanoTime());
            mRecords.put(fingerprint, record);
        }
        return record;
    }

    private void evictOldest() {
        long now = mTicker.nanoTime();
        Fingerprint oldest = null;
        long oldestAge = Long.MIN_VALUE;
        for (Map.Entry<Fingerprint, CrashRecord> entry : mRecords.entrySet()) {
            long age = now - entry.getValue().mChangedNanoseconds;
            if (age > oldestAge) {
                oldestAge = age;
                oldest = entry.getKey();
            }
        }
        mRecords.remove(oldest);
    }
}
