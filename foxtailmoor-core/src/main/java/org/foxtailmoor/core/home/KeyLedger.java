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
 * Remembers the idempotency keys of one home and their outcomes for 24 h. Belongs to the data loop.
 *
 * <p>When full, it forgets the oldest key that does not run, and from then on gives every unknown
 * key that is not younger than the youngest forgotten one an unknown outcome. So a forgotten key
 * never runs again, and new keys run however many come in a day.
 */
public final class KeyLedger {
    /** Most keys that are remembered. */
    public static final int KEY_LIMIT = 20_000;

    /** Largest answer that is replayed, in bytes. */
    public static final int ANSWER_LIMIT_BYTES = 64 * 1024;

    /**
     * Most bytes of answers that are held together. When it is used up, the oldest answers are
     * dropped and their keys answer "already run": 20,000 answers of 64 KiB would take 1.3 GB, and
     * a node has 64 MB.
     */
    public static final int ANSWERS_LIMIT_BYTES = 4 * 1024 * 1024;

    /** Age from which a key is not run any more, in milliseconds. */
    public static final long KEY_AGE_LIMIT_MILLISECONDS = TimeUnit.HOURS.toMillis(24);

    /**
     * Time for which a key is remembered. It exceeds the age limit by more than the clock skew, so
     * that a key is too old to run before it is forgotten.
     */
    private static final long MEMORY_NANOSECONDS =
            TimeUnit.MILLISECONDS.toNanos(KEY_AGE_LIMIT_MILLISECONDS)
                    + TimeUnit.SECONDS.toNanos(10);

    private final Ticker mTicker;
    private final Map<IdempotencyKey, KeyRecord> mRecords = new LinkedHashMap<>();
    private final Deque<KeyRecord> mAnswered = new ArrayDeque<>();
    private long mAnswerBytes;

    /** Latest creation time among the forgotten keys, in milliseconds since the epoch. */
    private long mForgottenMilliseconds = Long.MIN_VALUE;

    private KeyLedger(Ticker ticker) {
        mTicker = Objects.requireNonNull(ticker, "ticker");
    }

    /** Creates an empty ledger on a ticker, which must not be null. */
    public static KeyLedger of(Ticker ticker) {
        return new KeyLedger(ticker);
    }

    /**
     * Returns the outcome of a key. An unknown key is {@link KeyOutcome#NEW}, or {@link
     * KeyOutcome#UNKNOWN} if it may have been forgotten.
     *
     * @param key key, not null
     * @param fingerprint fingerprint of the request that carries the key, not null
     */
    public KeyOutcome outcome(IdempotencyKey key, Fingerprint fingerprint) {
        KeyRecord record = mRecords.get(key);
        if (record == null) {
            boolean mayBeForgotten = key.createdMilliseconds() <= mForgottenMilliseconds;
            return mayBeForgotten ? KeyOutcome.UNKNOWN : KeyOutcome.NEW;
        }
        boolean same = record.mFingerprint.equals(fingerprint);
        return same ? record.mOutcome : KeyOutcome.OTHER_REQUEST;
    }

    /** Returns the held answer of a key, or null if there is none. */
    public StoredAnswer answer(IdempotencyKey key) {
        KeyRecord record = mRecords.get(key);
        return record == null ? null : record.mAnswer;
    }

    /**
     * Remembers a new key as running.
     *
     * @return false if the ledger is full of running keys, knows the key or may have forgotten it
     */
    public boolean begin(IdempotencyKey key, Fingerprint fingerprint) {
        if (outcome(key, fingerprint) != KeyOutcome.NEW) {
            return false;
        }
        if (mRecords.size() >= KEY_LIMIT && !forgetOldest(key)) {
            return false;
        }
        mRecords.put(key, new KeyRecord(fingerprint, mTicker.nanoTime()));
        return true;
    }

    /** Records the answer of a running key; an unknown key is ignored. */
    public void finish(IdempotencyKey key, StoredAnswer answer) {
        KeyRecord record = mRecords.get(key);
        if (record == null || record.mOutcome != KeyOutcome.RUNNING) {
            return;
        }
        int size = answer.sizeBytes();
        if (answer.body().length > ANSWER_LIMIT_BYTES || size > ANSWERS_LIMIT_BYTES) {
            record.mOutcome = KeyOutcome.DONE_WITHOUT_ANSWER;
            return;
        }
        record.mOutcome = KeyOutcome.DONE;
        record.mAnswer = answer;
        mAnswered.add(record);
        mAnswerBytes += size;
        while (mAnswerBytes > ANSWERS_LIMIT_BYTES) {
            dropAnswer(mAnswered.remove());
        }
    }

    /** Records that a running key was dispatched and its result is not known. */
    public void loseOutcome(IdempotencyKey key) {
        KeyRecord record = mRecords.get(key);
        if (record != null && record.mOutcome == KeyOutcome.RUNNING) {
            record.mOutcome = KeyOutcome.UNKNOWN;
        }
    }

    /** Forgets a running key whose request has not run. */
    public void forget(IdempotencyKey key) {
        KeyRecord record = mRecords.get(key);
        if (record != null && record.mOutcome == KeyOutcome.RUNNING) {
            mRecords.remove(key);
        }
    }

    /** Runs the system over all keys: forgets those that are older than 24 h. */
    public void tick() {
        long now = mTicker.nanoTime();
        Iterator<KeyRecord> records = mRecords.values().iterator();
        while (records.hasNext()) {
            KeyRecord record = records.next();
            if (now - record.mBegunNanoseconds < MEMORY_NANOSECONDS) {
                return;
            }
            if (record.mOutcome != KeyOutcome.RUNNING) {
                records.remove();
                releaseAnswer(record);
            }
        }
    }

    /** Returns the number of remembered keys. */
    public int size() {
        return mRecords.size();
    }

    /** Forgets the oldest ended key that was created before a new one. */
    private boolean forgetOldest(IdempotencyKey newKey) {
        Iterator<Map.Entry<IdempotencyKey, KeyRecord>> records = mRecords.entrySet().iterator();
        while (records.hasNext()) {
            Map.Entry<IdempotencyKey, KeyRecord> oldest = records.next();
            long created = oldest.getKey().createdMilliseconds();
            boolean ended = oldest.getValue().mOutcome != KeyOutcome.RUNNING;
            if (ended && created < newKey.createdMilliseconds()) {
                records.remove();
                mForgottenMilliseconds = Math.max(mForgottenMilliseconds, created);
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
