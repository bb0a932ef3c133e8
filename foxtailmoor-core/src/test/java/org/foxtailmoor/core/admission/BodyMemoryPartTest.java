package org.foxtailmoor.core.admission;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

class BodyMemoryPartTest {
    private final BodyMemory mWhole = BodyMemory.of(100);
    private final BodyMemory mPart = mWhole.part(0.75);

    @Test
    void partLeavesTheRestToOthers() {
        assertThat(mPart.limitBytes()).isEqualTo(75);
        assertThat(mPart.tryReserve(75)).isTrue();
        assertThat(mPart.tryReserve(1)).isFalse();
        assertThat(mWhole.tryReserve(25)).isTrue();
        assertThat(mWhole.reservedBytes()).isEqualTo(100);
    }

    @Test
    void partTakesNoMemoryThatTheWholeHasReserved() {
        mWhole.tryReserve(60);
        assertThat(mPart.tryReserve(41)).isFalse();
        assertThat(mPart.reservedBytes()).isZero();
        assertThat(mPart.tryReserve(40)).isTrue();
    }

    @Test
    void releasedMemoryReturnsToTheWhole() {
        mPart.tryReserve(50);
        mPart.release(50);
        assertThat(mWhole.reservedBytes()).isZero();
        assertThatThrownBy(() -> mPart.release(1)).isInstanceOf(IllegalStateException.class);
    }

    @Test
    void ratioOutsideTheWholeIsRejected() {
        assertThatThrownBy(() -> mWhole.part(1.1)).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> mWhole.part(Double.NaN))
                .isInstanceOf(IllegalArgumentException.class);
    }
}
