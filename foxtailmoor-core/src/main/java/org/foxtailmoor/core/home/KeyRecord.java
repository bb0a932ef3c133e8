package org.foxtailmoor.core.home;

import java.util.Objects;

/** What the ledger remembers about one idempotency key. */
final class KeyRecord {
    final Fingerprint mFingerprint;
    final long mBegunNanoseconds;
    KeyOutcome mOutcome = KeyOutcome.RUNNING;

    /** Answer to replay, null if there is none or it is not held. */
    StoredAnswer mAnswer;

    KeyRecord(Fingerprint fingerprint, long begunNanoseconds) {
        mFingerprint = Objects.requireNonNull(fingerprint, "fingerprint");
        mBegunNanoseconds = begunNanoseconds;
    }
}
