package org.foxtailmoor.core.routing;

import java.util.Locale;
import java.util.UUID;

/**
 * Idempotency key of a caller: a UUIDv7, which contains its creation time.
 *
 * @param text canonical lower-case text, not null
 * @param createdMilliseconds creation time in milliseconds since the epoch, by the caller's clock
 */
public record IdempotencyKey(String text, long createdMilliseconds) {
    /** Maximum difference between the clocks of callers and nodes. */
    public static final long MAX_CLOCK_SKEW_MILLISECONDS = 2_000;

    private static final int UUID_VERSION = 7;
    private static final int UUID_VARIANT = 2;
    private static final int TEXT_LENGTH = 36;
    private static final int TIMESTAMP_SHIFT = 16;

    /**
     * Parses the value of an {@code Idempotency-Key} header.
     *
     * @param text header value, may be null
     * @return the key, or null if the text is not a UUIDv7 in canonical form
     */
    public static IdempotencyKey parse(String text) {
        if (text == null || text.length() != TEXT_LENGTH) {
            return null;
        }
        UUID uuid;
        try {
            uuid = UUID.fromString(text);
        } catch (IllegalArgumentException e) {
            return null;
        }
        String canonical = uuid.toString();
        boolean wellFormed = canonical.equals(text.toLowerCase(Locale.ROOT));
        if (!wellFormed || uuid.version() != UUID_VERSION || uuid.variant() != UUID_VARIANT) {
            return null;
        }
        return new IdempotencyKey(canonical, uuid.getMostSignificantBits() >>> TIMESTAMP_SHIFT);
    }

    /** Returns whether the creation time is later than a time by more than the clock skew. */
    public boolean isFromFuture(long nowMilliseconds) {
        return createdMilliseconds > nowMilliseconds + MAX_CLOCK_SKEW_MILLISECONDS;
    }
}
