package org.foxtailmoor.core.home;

import io.netty.util.concurrent.Ticker;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.core.routing.IdempotencyKey;

/**
 * Stores the idempotency keys of one home and their outcomes for 24 h. Not thread-safe; used only
 * on the data loop.
 *
 * <p>A full store evicts the oldest key that is not running. From then on, every absent key that is
 * not younger than the youngest evicted key has an unknown outcome. This ensures that an evicted
 * key never runs again, while new keys run regardless of how many arrive per day.
 */
public final class IdempotencyKeyStore {
    /** Maximum number of stored keys. */
    public static final int KEY_LIMIT = 20_000;

    /** Maximum size of an answer body that is stored for replay, in bytes. */
    public static final int MAX_ANSWER_BYTES = 64 * 1024;

    /**
     * Maximum total size of the stored answers in bytes. Beyond it the oldest answers are dropped
     * and repeats of their keys are refused as "already run": 20,000 answers of 64 KiB would take
     * 1.3 GB, and a node has 64 MB.
     */
    public static final int MAX_TOTAL_ANSWER_BYTES = 4 * 1024 * 1024;

    /** Maximum age of a key that may run, in milliseconds. */
    public static final long MAX_KEY_AGE_MILLISECONDS = TimeUnit.HOURS.toMillis(24);

    /**
     * Duration for which a key is stored. It exceeds the maximum age by more than the clock skew,
     * so that a key is too old to run before it is removed.
     */
    private static final long RETENTION_NANOSECONDS =
            TimeUnit.MILLISECONDS.toNanos(MAX_KEY_AGE_MILLISECONDS) + TimeUnit.SECONDS.toNanos(10);

    private final Ticker mTicker;
    private final Map<IdempotencyKey, KeyRecord> mRecords = new LinkedHashMap<>();
    private final Deque<KeyRecord> mAnswered = new ArrayDeque<>();
    private long mAnswerBytes;

    /** Latest creation time of the evicted keys, in milliseconds since the epoch. */
    private long mLatestEvictedMilliseconds = Long.MIN_VALUE;

    private IdempotencyKeyStore(Ticker ticker) {
        mTicker = Objects.requireNonNull(ticker, "ticker");
    }

    /**
     * Creates an empty store.
     *
     * @param ticker clock, not null
     */
    public static IdempotencyKeyStore of(Ticker ticker) {
        return new IdempotencyKeyStore(ticker);
    }

    /**
     * Returns the outcome of a key. The outcome of an absent key is {@link KeyOutcome#NEW}, or
     * {@link KeyOutcome#UNKNOWN} if the key may have been evicted.
     *
     * @param key key, not null
     * @param fingerprint fingerprint of the request that carries the key, not null
     */
    public KeyOutcome outcome(IdempotencyKey key, Fingerprint fingerprint) {
        KeyRecord record = mRecords.get(key);
        if (record == null) {
            boolean mayBeEvicted = key.createdMilliseconds() <= mLatestEvictedMilliseconds;
            return mayBeEvicted ? KeyOutcome.UNKNOWN : KeyOutcome.NEW;
        }
        boolean same = record.mFingerprint.equals(fingerprint);
        return same ? record.mOutcome : KeyOutcome.DIFFERENT_REQUEST;
    }

    /** Returns the stored answer of a key, or null if there is none. */
    public StoredAnswer answer(IdempotencyKey key) {
        KeyRecord record = mRecords.get(key);
        return record == null ? null : record.mAnswer;
    }

    /**
     * Stores a new key as running.
     *
     * @return false if the store has no key to evict, contains the key or may have evicted it
     */
    public boolean begin(IdempotencyKey key, Fingerprint fingerprint) {
        if (outcome(key, fingerprint) != KeyOutcome.NEW) {
            return false;
        }
        if (mRecords.size() >= KEY_LIMIT && !evictOldest(key)) {
            return false;
        }
        mRecords.put(key, new KeyRecord(fingerprint, mTicker.nanoTime()));
        return true;
    }

    /** Records the answer of a running key. An absent key is ignored. */
    public void finish(IdempotencyKey key, StoredAnswer answer) {
        KeyRecord record = mRecords.get(key);
        if (record == null || record.mOutcome != KeyOutcome.RUNNING) {
            return;
        }
        int size = answer.sizeBytes();
        if (answer.body().length > MAX_ANSWER_BYTES || size > MAX_TOTAL_ANSWER_BYTES) {
            record.mOutcome = KeyOutcome.DONE_WITHOUT_ANSWER;
            return;
        }
        record.mOutcome = KeyOutcome.DONE;
        record.mAnswer = answer;
        mAnswered.add(record);
        mAnswerBytes += size;
        while (mAnswerBytes > MAX_TOTAL_ANSWER_BYTES) {
            dropAnswer(mAnswered.remove());
        }
    }

    /** Records that the outcome of a running key, which was dispatched, is unknown. */
    public void markUnknown(IdempotencyKey key) {
        KeyRecord record = mRecords.get(key);
        if (record != null && record.mOutcome == KeyOutcome.RUNNING) {
            record.mOutcome = KeyOutcome.UNKNOWN;
        }
    }

    /** Removes a running key whose request has not run. */
    public void discard(IdempotencyKey key) {
        KeyRecord record = mRecords.get(key);
        if (record != null && record.mOutcome == KeyOutcome.RUNNING) {
            mRecords.remove(key);
        }
    }

    /** Removes expired keys that are not running. Called periodically. */
    public void tick() {
        long now = mTicker.nanoTime();
        Iterator<KeyRecord> records = mRecords.values().iterator();
        while (records.hasNext()) {
            KeyRecord record = records.next();
            if (now - record.mBegunNanoseconds < RETENTION_NANOSECONDS) {
                return;
            }
            if (record.mOutcome != KeyOutcome.RUNNING) {
                records.remove();
                releaseAnswer(record);
            }
        }
    }

    /** Returns the number of stored keys. */
    public int size() {
        return mRecords.size();
    }

    /** Evicts the oldest ended key that was created before a new key; returns whether one was. */
    private boolean evictOldest(IdempotencyKey newKey) {
        Iterator<Map.Entry<IdempotencyKey, KeyRecord>> records = mRecords.entrySet().iterator();
        while (records.hasNext()) {
            Map.Entry<IdempotencyKey, KeyRecord> oldest = records.next();
            long created = oldest.getKey().createdMilliseconds();
            boolean ended = oldest.getValue().mOutcome != KeyOutcome.RUNNING;
            if (ended && created < newKey.createdMilliseconds()) {
                records.remove();
                mLatestEvictedMilliseconds = Math.max(mLatestEvictedMilliseconds, created);
                releaseAnswer(oldest.getValue());
                return true;
            }
        }
        return false;
    }

    private void releaseAnswer(KeyRecord record) {
        if (record.mAnswer != null) {
            mAnswered.remove(record);
            dropAnswer(record);
        }
    }

    private void dropAnswer(KeyRecord record) {
        mAnswerBytes -= record.mAnswer.sizeBytes();
        record.mAnswer = null;
        record.mOutcome = KeyOutcome.DONE_WITHOUT_ANSWER;
    }
}
