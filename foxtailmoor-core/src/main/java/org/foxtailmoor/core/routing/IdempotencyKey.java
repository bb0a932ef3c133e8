package org.foxtailmoor.core.routing;

import java.util.Locale;
import java.util.UUID;

/**
 * A caller's idempotency key: a UUIDv7 with the time of its creation.
 *
 * @param text canonical text in lower case, not null
 * @param createdMilliseconds creation time in milliseconds since the epoch, by the caller's clock
 */
public record IdempotencyKey(String text, long createdMilliseconds) {
    /** Time by which clocks of callers and nodes may differ, in milliseconds. */
    public static final long SKEW_MILLISECONDS = 2_000;

    private static final int VERSION = 7;
    private static final int VARIANT = 2;
    private static final int TEXT_LENGTH = 36;
    private static final int TIME_SHIFT = 16;

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
        if (!wellFormed || uuid.version() != VERSION || uuid.variant() != VARIANT) {
            return null;
        }
        return new IdempotencyKey(canonical, uuid.getMostSignificantBits() >>> TIME_SHIFT);
    }

    /** Returns whether the key is dated later than a time by more than the skew. */
    public boolean isFromFuture(long nowMilliseconds) {
        return createdMilliseconds > nowMilliseconds + SKEW_MILLISECONDS;
    }
}
