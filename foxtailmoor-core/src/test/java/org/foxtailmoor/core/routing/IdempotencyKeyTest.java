package org.foxtailmoor.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.UUID;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

class IdempotencyKeyTest {
    private static final long LATEST = (1L << 48) - 1;

    @Property(seed = "1", tries = 200)
    void creationTimeIsRead(@ForAll @LongRange(min = 0, max = LATEST) long time, @ForAll long low) {
        long high = time << 16 | 0x7000L | (low & 0xfff);
        String text = new UUID(high, low >>> 2 | 1L << 63).toString();
        assertThat(IdempotencyKey.parse(text)).isEqualTo(new IdempotencyKey(text, time));
        assertThat(IdempotencyKey.parse(text.toUpperCase(java.util.Locale.ROOT)).text())
                .isEqualTo(text);
    }

    @Property(seed = "1", tries = 200)
    void otherTextsAreRefused(@ForAll String text) {
        assertThat(IdempotencyKey.parse(text)).isNull();
    }

    @Test
    void otherVersionsAndShortFormsAreRefused() {
        assertThat(IdempotencyKey.parse(null)).isNull();
        assertThat(IdempotencyKey.parse("0190a000-0000-4000-8000-000000000000")).isNull();
        assertThat(IdempotencyKey.parse("0190a000-0000-7000-c000-000000000000")).isNull();
        assertThat(IdempotencyKey.parse("190a000-00000-7000-8000-000000000000")).isNull();
    }
}
