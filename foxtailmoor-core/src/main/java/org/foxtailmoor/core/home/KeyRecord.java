package org.foxtailmoor.core.home;

import java.util.Objects;

/** State of one idempotency key in the {@link IdempotencyKeyStore}. */
final class KeyRecord {
    final Fingerprint mFingerprint;
    final long mBegunNanoseconds;
    KeyOutcome mOutcome = KeyOutcome.RUNNING;

    /** Answer to replay, or null if none is stored. */
    StoredAnswer mAnswer;

    KeyRecord(Fingerprint fingerprint, long begunNanoseconds) {
        mFingerprint = Objects.requireNonNull(fingerprint, "fingerprint");
        mBegunNanoseconds = begunNanoseconds;
    }
}
