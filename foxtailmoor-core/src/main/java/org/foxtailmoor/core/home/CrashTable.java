package org.foxtailmoor.core.home;

import io.netty.util.concurrent.Ticker;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.ToLongFunction;
import net.openhft.hashing.LongHashFunction;
import org.foxtailmoor.core.home.CrashGuard.Status;
import org.foxtailmoor.protocol.generated.CrashCount;

/**
 * Crash counts of request fingerprints, replicated among the nodes of one service. Not thread-safe;
 * used only on the data loop.
 *
 * <p>The fingerprints depend on the caller: a request that crashes targets comes again from the
 * same caller, and answers to the same request of other callers say nothing about it.
 *
 * <p>A crash of the target is counted for the requests that were in flight, except those whose
 * fingerprint was answered recently: a request that crashes its targets is never answered. If
 * exactly one of them was a suspect already, it is counted for that one only. An answer clears all
 * crashes of its fingerprint that are known here. A fingerprint with a crash that is not cleared is
 * a suspect. It is poisoned after {@link #CRASH_LIMIT} crashes, at least one of them as the only
 * suspect, if they were reported by two instances or if this node has counted them all: one faulty
 * node cannot get a request refused by others.
 *
 * <p>Counts of a reporter only grow, and merging keeps the highest values, so that the order in
 * which counts arrive has no influence and old counts do not undo a later clearing.
 */
public final class CrashTable {
    /** Crashes after which a fingerprint is poisoned. */
    public static final int CRASH_LIMIT = 2;

    /** Duration for which a crash counts. */
    public static final long RETENTION_NANOSECONDS = TimeUnit.MINUTES.toNanos(10);

    /**
     * Maximum number of fingerprints; cleared ones and those with the oldest crashes are evicted
     * first.
     */
    public static final int FINGERPRINT_LIMIT = 256;

    /** Maximum number of reporters whose counts are kept for one fingerprint. */
    public static final int REPORTER_LIMIT = 16;

    /** Duration for which an answered fingerprint is not suspected. */
    private static final long ANSWERED_RETENTION_NANOSECONDS = TimeUnit.SECONDS.toNanos(30);

    /** Receives changes of the table. */
    public interface Listener {
        /** Called when the status of a fingerprint has changed, but not when its crashes expire. */
        void onStatusChanged(StatusChange change);

        /**
         * Called with counts that have changed.
         *
         * @param counts changed counts
         * @param crashedHere whether the target of this node has crashed
         */
        void onCountsChanged(List<CrashCount> counts, boolean crashedHere);
    }

    /**
     * Change of the status of a fingerprint.
     *
     * @param fingerprint fingerprint
     * @param before status before the change
     * @param after status after the change
     * @param crashes crashes that are not cleared
     * @param reporters ids of the instances that reported them
     */
    public record StatusChange(
            Fingerprint fingerprint,
            Status before,
            Status after,
            int crashes,
            Set<String> reporters) {}

    private record Reporter(String instanceId, long incarnation) {}

    private static final class Counts {
        private int mCrashes;
        private int mLastCrashAsSuspect;
        private int mClearedCrashes;
        private long mLastCrashNanoseconds;

        int uncleared() {
            return mCrashes - mClearedCrashes;
        }

        boolean hasUnclearedCrashAsSuspect() {
            return mLastCrashAsSuspect > mClearedCrashes;
        }
    }

    private final Ticker mTicker;
    private final Reporter mSelf;
    private final Listener mListener;
    private final Map<Fingerprint, Map<Reporter, Counts>> mRecords = new HashMap<>();
    private final AnsweredFingerprints mAnswered;

    private CrashTable(Ticker ticker, Reporter self, Listener listener) {
        mTicker = Objects.requireNonNull(ticker, "ticker");
        mAnswered = new AnsweredFingerprints(ticker);
        mSelf = self;
        mListener = Objects.requireNonNull(listener, "listener");
    }

    /**
     * Creates an empty table.
     *
     * @param ticker clock, not null
     * @param instanceId id of this instance, not null
     * @param incarnation start time of the process, which tells its counts from earlier ones
     * @param listener receives changes, not null
     */
    public static CrashTable of(
            Ticker ticker, String instanceId, long incarnation, Listener listener) {
        Objects.requireNonNull(instanceId, "instanceId");
        return new CrashTable(ticker, new Reporter(instanceId, incarnation), listener);
    }

    /** Returns the status of a fingerprint. */
    public Status status(Fingerprint fingerprint) {
        Map<Reporter, Counts> record = mRecords.get(fingerprint);
        if (record == null) {
            return Status.CLEAR;
        }
        removeExpired(record);
        int crashes = crashes(record);
        Counts own = record.get(mSelf);
        boolean credible =
                reporters(record).size() > 1 || own != null && own.uncleared() >= CRASH_LIMIT;
        boolean confirmed = record.values().stream().anyMatch(Counts::hasUnclearedCrashAsSuspect);
        if (crashes >= CRASH_LIMIT && credible && confirmed) {
            return Status.POISONED;
        }
        return crashes > 0 ? Status.SUSPECT : Status.CLEAR;
    }

    /** Returns the time until the last crash of a fingerprint expires, 0 without a crash. */
    public long remainingNanoseconds(Fingerprint fingerprint) {
        long now = mTicker.nanoTime();
        return mRecords.getOrDefault(fingerprint, Map.of()).values().stream()
                .filter(counts -> counts.uncleared() > 0)
                .mapToLong(counts -> RETENTION_NANOSECONDS - (now - counts.mLastCrashNanoseconds))
                .reduce(0, Math::max);
    }

    /** Returns the number of fingerprints with a status. */
    public int count(Status status) {
        return (int) mRecords.keySet().stream().filter(key -> status(key) == status).count();
    }

    /** Returns whether no crash is known, not even a cleared one. */
    public boolean isEmpty() {
        return mRecords.isEmpty();
    }

    /** Returns whether a crash is known that is not cleared. */
    public boolean hasCrashes() {
        return !mRecords.isEmpty()
                && mRecords.values().stream().anyMatch(record -> crashes(record) > 0);
    }

    /**
     * Counts a crash of this node's target.
     *
     * @param inFlight fingerprints of the requests in flight, not null
     */
    public void crashed(Collection<Fingerprint> inFlight) {
        Set<Fingerprint> candidates = new LinkedHashSet<>(inFlight);
        candidates.removeIf(this::wasAnswered);
        List<Fingerprint> suspects =
                candidates.stream().filter(key -> status(key) != Status.CLEAR).toList();
        boolean confirmed = suspects.size() == 1 || candidates.size() == 1;
        List<CrashCount> changed = new ArrayList<>();
        for (Fingerprint fingerprint : suspects.size() == 1 ? suspects : candidates) {
            Status before = status(fingerprint);
            Counts counts = countsOf(recordOf(fingerprint), mSelf);
            counts.mCrashes++;
            counts.mLastCrashAsSuspect = confirmed ? counts.mCrashes : counts.mLastCrashAsSuspect;
            counts.mLastCrashNanoseconds = mTicker.nanoTime();
            changed.addAll(counts(fingerprint));
            notifyStatus(fingerprint, before);
        }
        notifyCounts(changed, true);
    }

    /** Records a complete answer of this node's target, which clears the known crashes. */
    public void answered(Fingerprint fingerprint) {
        mAnswered.add(fingerprint);
        Map<Reporter, Counts> record = mRecords.get(fingerprint);
        if (record == null || crashes(record) == 0) {
            return;
        }
        Status before = status(fingerprint);
        record.values().forEach(counts -> counts.mClearedCrashes = counts.mCrashes);
        notifyStatus(fingerprint, before);
        notifyCounts(counts(fingerprint), false);
    }

    /** Merges counts of other nodes. Malformed, expired and this process's own are ignored. */
    public void merge(Collection<CrashCount> received) {
        List<CrashCount> changed = new ArrayList<>();
        for (CrashCount count : received) {
            Fingerprint fingerprint = Fingerprint.of(count.getFingerprint());
            if (fingerprint != null && isPlausible(count)) {
                Status before = status(fingerprint);
                if (merge(fingerprint, count)) {
                    changed.add(count);
                    notifyStatus(fingerprint, before);
                }
            }
        }
        notifyCounts(changed, false);
    }

    /**
     * Attributes crashes of this node's target to a fingerprint if it is the only one that was also
     * in flight at a crash elsewhere. Targets that run the same request crash at about the same
     * time, before the nodes know of each other's crashes.
     */
    public void attributeCommonCrashes() {
        List<Fingerprint> common =
                mRecords.entrySet().stream()
                        .filter(entry -> hasCrashedHereAndElsewhere(entry.getValue()))
                        .map(Map.Entry::getKey)
                        .toList();
        if (common.size() != 1) {
            return;
        }
        Fingerprint fingerprint = common.get(0);
        Counts own = mRecords.get(fingerprint).get(mSelf);
        if (!own.hasUnclearedCrashAsSuspect()) {
            Status before = status(fingerprint);
            own.mLastCrashAsSuspect = own.mCrashes;
            notifyStatus(fingerprint, before);
            notifyCounts(counts(fingerprint), true);
        }
    }

    private boolean hasCrashedHereAndElsewhere(Map<Reporter, Counts> record) {
        Counts own = record.get(mSelf);
        return own != null && own.uncleared() > 0 && reporters(record).size() > 1;
    }

    /** Returns the counts of one fingerprint. */
    public List<CrashCount> counts(Fingerprint fingerprint) {
        List<CrashCount> counts = new ArrayList<>();
        mRecords.getOrDefault(fingerprint, Map.of())
                .forEach((reporter, own) -> counts.add(toMessage(fingerprint, reporter, own)));
        return counts;
    }

    /** Returns all counts, those that are not cleared and have the latest crashes first. */
    public List<CrashCount> counts() {
        List<CrashCount> counts = new ArrayList<>();
        mRecords.keySet().forEach(fingerprint -> counts.addAll(counts(fingerprint)));
        counts.sort(
                Comparator.comparing(CrashTable::isCleared)
                        .thenComparingInt(CrashCount::getAgeMilliseconds));
        return counts;
    }

    /** Returns a digest of all counts, equal on nodes with equal counts; 0 for an empty table. */
    public long digest() {
        long digest = 0;
        for (CrashCount count : counts()) {
            byte[] bytes = count.toBuilder().clearAgeMilliseconds().build().toByteArray();
            digest += LongHashFunction.xx3().hashBytes(bytes);
        }
        return digest;
    }

    /** Removes expired counts. Called periodically. */
    public void tick() {
        if (mRecords.isEmpty()) {
            return;
        }
        mRecords.values().removeIf(this::removeExpired);
    }

    private boolean merge(Fingerprint fingerprint, CrashCount count) {
        Reporter reporter = new Reporter(count.getReporter(), count.getIncarnation());
        Counts counts = countsOf(recordOf(fingerprint), reporter);
        int cleared = Math.min(count.getClearedCrashes(), count.getCrashes());
        boolean changed = false;
        // Only this process raises its own counts, but any node may clear them.
        if (count.getCrashes() > counts.mCrashes && !reporter.equals(mSelf)) {
            counts.mCrashes = count.getCrashes();
            counts.mLastCrashNanoseconds =
                    mTicker.nanoTime()
                            - TimeUnit.MILLISECONDS.toNanos(
                                    Integer.toUnsignedLong(count.getAgeMilliseconds()));
            changed = true;
        }
        int asSuspect = Math.min(count.getLastCrashAsSuspect(), counts.mCrashes);
        if (asSuspect > counts.mLastCrashAsSuspect && !reporter.equals(mSelf)) {
            counts.mLastCrashAsSuspect = asSuspect;
            changed = true;
        }
        if (Math.min(cleared, counts.mCrashes) > counts.mClearedCrashes) {
            counts.mClearedCrashes = Math.min(cleared, counts.mCrashes);
            changed = true;
        }
        if (counts.mCrashes == 0) {
            mRecords.get(fingerprint).remove(reporter);
        }
        return changed;
    }

    /** Returns whether all crashes of a count are cleared. */
    static boolean isCleared(CrashCount count) {
        return count.getClearedCrashes() >= count.getCrashes();
    }

    private static boolean isPlausible(CrashCount count) {
        long age = Integer.toUnsignedLong(count.getAgeMilliseconds());
        return count.getCrashes() > 0
                && count.getLastCrashAsSuspect() >= 0
                && count.getClearedCrashes() >= 0
                && TimeUnit.MILLISECONDS.toNanos(age) < RETENTION_NANOSECONDS;
    }

    private boolean wasAnswered(Fingerprint fingerprint) {
        return mAnswered.wasAnsweredWithin(fingerprint, ANSWERED_RETENTION_NANOSECONDS);
    }

    private void notifyStatus(Fingerprint fingerprint, Status before) {
        Status after = status(fingerprint);
        if (after != before) {
            Map<Reporter, Counts> record = mRecords.getOrDefault(fingerprint, Map.of());
            mListener.onStatusChanged(
                    new StatusChange(
                            fingerprint, before, after, crashes(record), reporters(record)));
        }
    }

    private void notifyCounts(List<CrashCount> changed, boolean crashedHere) {
        if (!changed.isEmpty()) {
            mListener.onCountsChanged(changed, crashedHere);
        }
    }

    private CrashCount toMessage(Fingerprint fingerprint, Reporter reporter, Counts counts) {
        long age = mTicker.nanoTime() - counts.mLastCrashNanoseconds;
        return CrashCount.newBuilder()
                .setFingerprint(fingerprint.toBytes())
                .setReporter(reporter.instanceId())
                .setIncarnation(reporter.incarnation())
                .setCrashes(counts.mCrashes)
                .setLastCrashAsSuspect(counts.mLastCrashAsSuspect)
                .setClearedCrashes(counts.mClearedCrashes)
                .setAgeMilliseconds((int) TimeUnit.NANOSECONDS.toMillis(age))
                .build();
    }

    private static int crashes(Map<Reporter, Counts> record) {
        return record.values().stream().mapToInt(Counts::uncleared).sum();
    }

    private static Set<String> reporters(Map<Reporter, Counts> record) {
        Set<String> reporters = new LinkedHashSet<>();
        record.forEach(
                (reporter, counts) -> {
                    if (counts.uncleared() > 0) {
                        reporters.add(reporter.instanceId());
                    }
                });
        return reporters;
    }

    /** Removes the expired counts of a record, and returns whether none is left. */
    private boolean removeExpired(Map<Reporter, Counts> record) {
        long now = mTicker.nanoTime();
        record.values()
                .removeIf(counts -> now - counts.mLastCrashNanoseconds >= RETENTION_NANOSECONDS);
        return record.isEmpty();
    }

    private Map<Reporter, Counts> recordOf(Fingerprint fingerprint) {
        Map<Reporter, Counts> record = mRecords.get(fingerprint);
        if (record == null) {
            if (mRecords.size() >= FINGERPRINT_LIMIT) {
                mRecords.remove(oldest(mRecords, this::ageNanoseconds));
            }
            record = new LinkedHashMap<>();
            mRecords.put(fingerprint, record);
        }
        return record;
    }

    private Counts countsOf(Map<Reporter, Counts> record, Reporter reporter) {
        Counts counts = record.get(reporter);
        if (counts == null) {
            if (record.size() >= REPORTER_LIMIT) {
                record.remove(oldest(record, this::ageNanoseconds));
            }
            counts = new Counts();
            counts.mLastCrashNanoseconds = mTicker.nanoTime();
            record.put(reporter, counts);
        }
        return counts;
    }

    /** Returns the age of the last crash that is not cleared, or the largest value. */
    private long ageNanoseconds(Map<Reporter, Counts> record) {
        return record.values().stream()
                .filter(counts -> counts.uncleared() > 0)
                .mapToLong(this::ageNanoseconds)
                .min()
                .orElse(Long.MAX_VALUE);
    }

    private long ageNanoseconds(Counts counts) {
        return mTicker.nanoTime() - counts.mLastCrashNanoseconds;
    }

    private static <K, V> K oldest(Map<K, V> entries, ToLongFunction<V> ageNanoseconds) {
        return entries.entrySet().stream()
                .max(
                        Comparator.comparingLong(
                                entry -> ageNanoseconds.applyAsLong(entry.getValue())))
                .map(Map.Entry::getKey)
                .orElse(null);
    }
}
