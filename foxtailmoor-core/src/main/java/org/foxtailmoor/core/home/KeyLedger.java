package org.foxtailmoor.core.home;

import org.foxtailmoor.core.routing.EpochClock;

/**
 * Remembers the idempotency keys of one home and their outcomes for 24 h. When full, it refuses new
 * keys instead of forgetting old ones. Belongs to the data loop.
 */
public final class KeyLedger {
    /** Most keys that are remembered. */
    public static final int KEY_LIMIT = 20_000;

    /** Largest answer that is replayed, in bytes. */
    public static final int ANSWER_LIMIT_BYTES = 64 * 1024;

    private KeyLedger() {}

    /** Creates an empty ledger on a clock, which must not be null. */
    public static KeyLedger of(EpochClock clock) {
        return new KeyLedger();
    }
}
