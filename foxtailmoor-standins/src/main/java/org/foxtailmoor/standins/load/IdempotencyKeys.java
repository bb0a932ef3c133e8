package org.foxtailmoor.standins.load;

import java.util.UUID;
import java.util.concurrent.ThreadLocalRandom;

/** Makes idempotency keys: UUIDs of version 7, which begin with their time of creation. */
public final class IdempotencyKeys {
    private static final long VERSION_7 = 0x7000L;
    private static final long VARIANT = 0x8000_0000_0000_0000L;
    private static final int TIME_SHIFT = 16;
    private static final long RANDOM_HIGH_MASK = 0x0fffL;
    private static final int VARIANT_BITS = 2;

    private IdempotencyKeys() {}

    /**
     * Returns a new key.
     *
     * @param epochMilliseconds time of creation, milliseconds since 1970
     */
    public static UUID create(long epochMilliseconds) {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        long high =
                (epochMilliseconds << TIME_SHIFT)
                        | VERSION_7
                        | (random.nextLong() & RANDOM_HIGH_MASK);
        long low = VARIANT | (random.nextLong() >>> VARIANT_BITS);
        return new UUID(high, low);
    }
}
