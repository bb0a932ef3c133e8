package org.foxtailmoor.core.routing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.junit.jupiter.api.Test;

class SnapshotReferenceTest {
    record Numbered(int number) implements Versioned<Numbered> {
        @Override
        public boolean isNewerThan(Numbered other) {
            return number > other.number;
        }
    }

    @Test
    void snapshotIsDroppedOnceAfterItsLastUse() {
        List<Numbered> dropped = new ArrayList<>();
        SnapshotReference<Numbered> reference = SnapshotReference.of(new Numbered(1), dropped::add);
        SnapshotReference.Use<Numbered> first = reference.acquire();
        SnapshotReference.Use<Numbered> second = reference.acquire();

        assertThat(reference.publish(new Numbered(2))).isTrue();
        first.release();
        assertThat(dropped).isEmpty();
        second.release();
        assertThat(dropped).containsExactly(new Numbered(1));
        assertThatThrownBy(second::release).isInstanceOf(IllegalStateException.class);
    }

    /** Invariant 1: a snapshot is never replaced by an older one. */
    @Test
    void olderOrEqualSnapshotIsNotPublished() {
        SnapshotReference<Numbered> reference = SnapshotReference.of(new Numbered(2), n -> {});
        assertThat(reference.publish(new Numbered(1))).isFalse();
        assertThat(reference.publish(new Numbered(2))).isFalse();
        assertThat(reference.acquire().value()).isEqualTo(new Numbered(2));
    }

    /** Model-checks races between publishing, using and dropping on the two event loops. */
    @Test
    void operationsAreLinearizable() {
        new ModelCheckingOptions()
                .iterations(20)
                .invocationsPerIteration(500)
                .threads(2)
                .actorsPerThread(3)
                .actorsBefore(1)
                .actorsAfter(2)
                .sequentialSpecification(SequentialModel.class)
                .check(ConcurrentModel.class);
    }

    /** Implementation under test; an acquired snapshot must not be dropped before its release. */
    public static class ConcurrentModel {
        private final AtomicInteger[] mDrops = new AtomicInteger[6];
        private final SnapshotReference<Numbered> mReference;

        public ConcurrentModel() {
            for (int i = 0; i < mDrops.length; i++) {
                mDrops[i] = new AtomicInteger();
            }
            mReference =
                    SnapshotReference.of(
                            new Numbered(0), value -> mDrops[value.number()].incrementAndGet());
        }

        @Operation
        public boolean publish(@Param(gen = IntGen.class, conf = "0:5") int number) {
            return mReference.publish(new Numbered(number));
        }

        @Operation
        public String use() {
            SnapshotReference.Use<Numbered> use = mReference.acquire();
            int number = use.value().number();
            int dropsWhileUsed = mDrops[number].get();
            use.release();
            return number
                    + " dropped "
                    + dropsWhileUsed
                    + " times, later at most once: "
                    + (mDrops[number].get() <= 1);
        }
    }

    /** Sequential specification of the same operations. */
    public static class SequentialModel {
        private int mNumber;

        public boolean publish(int number) {
            boolean newer = number > mNumber;
            mNumber = Math.max(mNumber, number);
            return newer;
        }

        public String use() {
            return mNumber + " dropped 0 times, later at most once: true";
        }
    }
}
