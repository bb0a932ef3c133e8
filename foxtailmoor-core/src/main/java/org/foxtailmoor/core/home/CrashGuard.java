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
 * Counts the target crashes of request fingerprints over the nodes of one service. Belongs to the
 * data loop.
 *
 * <p>A fingerprint with a crash is a suspect until its request completes alone, or until 10 minutes
 * pass without another crash. At the crash limit it is poisoned for 10 minutes from its last crash;
 * afterwards its counts start again. With a limit above 1, at least one of the crashes must have
 * come while it was the only suspect in flight: a request that many callers send is in flight
 * beside every crash, and would otherwise be poisoned in place of its neighbour.
 */
public final class CrashGuard {
    /** Time for which a fingerprint is poisoned, and for which a crash counts. */
    public static final long MEMORY_NANOSECONDS = TimeUnit.MINUTES.toNanos(10);

    /** Most own reports that are sent at once. */
    public static final int REPORT_LIMIT = 16;

    /** Most fingerprints that are remembered; the least recently changed one is dropped first. */
    public static final int FINGERPRINT_LIMIT = 1_000;

    /**
     * Time after which a record is dropped. It is longer than the time for which a reporter sends
     * its count, so that a count that expired here is not taken for a new one.
     */
    private static final long RECORD_NANOSECONDS = 3 * MEMORY_NANOSECONDS;

    /** Says how a request with a fingerprint may run. */
    public enum Verdict {
        /** The request may run beside others. */
        CLEAR,
        /** The request must run alone. */
        SUSPECT,
        /** The request must not run. */
        POISONED
    }

    private final Ticker mTicker;
    private final String mServiceId;
    private final String mInstanceId;
    private final Map<Fingerprint, CrashRecord> mRecords = new HashMap<>();

    private CrashGuard(Ticker ticker, String serviceId, String instanceId) {
        mTicker = Objects.requireNonNull(ticker, "ticker");
        mServiceId = Objects.requireNonNull(serviceId, "serviceId");
        mInstanceId = Objects.requireNonNull(instanceId, "instanceId");
    }

    /** Creates a guard without counts; no argument may be null. */
    public static CrashGuard of(Ticker ticker, String serviceId, String instanceId) {
        return new CrashGuard(ticker, serviceId, instanceId);
    }

    /**
     * Returns how a request may run.
     *
     * @param fingerprint fingerprint of the request, not null
     * @param crashLimit crash limit of the service; less than 1 counts as 1
     */
    public Verdict verdict(Fingerprint fingerprint, int crashLimit) {
        CrashRecord record = mRecords.get(fingerprint);
        if (record == null) {
            return Verdict.CLEAR;
        }
        expire(record, mTicker.nanoTime());
        int crashes = record.crashes();
        boolean confirmed = crashLimit <= 1 || record.crashesAsSuspect() > 0;
        if (confirmed && crashes >= Math.max(1, crashLimit)) {
            return Verdict.POISONED;
        }
        return crashes > 0 ? Verdict.SUSPECT : Verdict.CLEAR;
    }

    /**
     * Counts a crash of the own target with a request in flight.
     *
     * @param fingerprint fingerprint of the request, not null
     * @param onlySuspect whether no other request in flight was a suspect or there was no other one
     */
    public void crashed(Fingerprint fingerprint, boolean onlySuspect) {
        CrashRecord record = recordOf(fingerprint);
        expire(record, mTicker.nanoTime());
        record.state(
                mInstanceId,
                record.stated(mInstanceId) + 1,
                record.statedAsSuspect(mInstanceId) + (onlySuspect ? 1 : 0),
                false);
        ownChange(record);
    }

    /** Clears a fingerprint whose request has completed alone. */
    public void completedAlone(Fingerprint fingerprint) {
        CrashRecord record = mRecords.get(fingerprint);
        if (record != null && record.crashes() > 0) {
            record.clear();
            record.state(
                    mInstanceId,
                    record.stated(mInstanceId),
                    record.statedAsSuspect(mInstanceId),
                    true);
            ownChange(record);
        }
    }

    /** Merges reports of other nodes; own, foreign-service and malformed reports are ignored. */
    public void merge(Collection<CrashReport> reports) {
        for (CrashReport report : reports) {
            Fingerprint fingerprint = Fingerprint.of(report.getFingerprint());
            boolean foreign = !report.getServiceId().equals(mServiceId);
            if (fingerprint == null || foreign || report.getReporter().equals(mInstanceId)) {
                continue;
            }
            CrashRecord record = recordOf(fingerprint);
            expire(record, mTicker.nanoTime());
            int crashes = Math.max(0, report.getCrashes());
            int asSuspect = Math.max(0, report.getCrashesAsSuspect());
            if (record.state(report.getReporter(), crashes, asSuspect, report.getExonerated())) {
                record.mChangedNanoseconds = mTicker.nanoTime();
            }
        }
    }

    /** Returns the own reports to send, the newest first, at most 16; immutable messages. */
    public List<CrashReport> reports() {
        long now = mTicker.nanoTime();
        List<Map.Entry<Fingerprint, CrashRecord>> own = new ArrayList<>();
        for (Map.Entry<Fingerprint, CrashRecord> entry : mRecords.entrySet()) {
            CrashRecord record = entry.getValue();
            boolean stated = record.stated(mInstanceId) > 0 || record.isExonerator(mInstanceId);
            if (stated && now - record.mOwnChangedNanoseconds < MEMORY_NANOSECONDS) {
                own.add(entry);
            }
        }
        own.sort(Comparator.comparingLong(entry -> now - entry.getValue().mOwnChangedNanoseconds));
        List<CrashReport> reports = new ArrayList<>();
        for (Map.Entry<Fingerprint, CrashRecord> entry : own) {
            if (reports.size() < REPORT_LIMIT) {
                reports.add(report(entry.getKey(), entry.getValue()));
            }
        }
        return reports;
    }

    /** Runs the system over all fingerprints: forgets those whose time has passed. */
    public void tick() {
        long now = mTicker.nanoTime();
        mRecords.values()
                .removeIf(record -> now - record.mChangedNanoseconds >= RECORD_NANOSECONDS);
    }

    private CrashReport report(Fingerprint fingerprint, CrashRecord record) {
        return CrashReport.newBuilder()
                .setServiceId(mServiceId)
                .setFingerprint(fingerprint.toBytes())
                .setReporter(mInstanceId)
                .setCrashes(record.stated(mInstanceId))
                .setCrashesAsSuspect(record.statedAsSuspect(mInstanceId))
                .setExonerated(record.isExonerator(mInstanceId))
                .build();
    }

    private void ownChange(CrashRecord record) {
        record.mChangedNanoseconds = mTicker.nanoTime();
        record.mOwnChangedNanoseconds = record.mChangedNanoseconds;
    }

    private static void expire(CrashRecord record, long now) {
        if (now - record.mChangedNanoseconds >= MEMORY_NANOSECONDS) {
            record.clear();
        }
    }

    private CrashRecord recordOf(Fingerprint fingerprint) {
        CrashRecord record = mRecords.get(fingerprint);
        if (record == null) {
            if (mRecords.size() >= FINGERPRINT_LIMIT) {
                dropOldest();
            }
            record = new CrashRecord(mTicker.nanoTime());
            mRecords.put(fingerprint, record);
        }
        return record;
    }

    private void dropOldest() {
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
