package org.foxtailmoor.core.source;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.protobuf.ByteString;
import com.google.protobuf.CodedOutputStream;
import java.io.IOException;
import java.util.Arrays;
import java.util.Random;
import java.util.zip.CRC32C;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.assertj.core.api.ThrowableAssert.ThrowingCallable;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.base.FoxtailmoorException;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class ByteDeltaTest {
    private static final long SEED = Long.getLong("foxtailmoor.seed", 15);
    private static final int BLOCK_BYTES = 32;
    private static final long MAX_COMPARED_BYTES_PER_TARGET_BYTE = 600;
    private static final int LIMIT = 4 * 1_024 * 1_024;

    @BeforeAll
    static void printSeed() {
        System.out.println("ByteDeltaTest: -Dfoxtailmoor.seed=" + SEED);
    }

    private static ByteString requireRoundTrip(ByteString base, ByteString target) {
        ByteString delta = ByteDelta.encode(base, target);
        assertThat(ByteDelta.apply(base, delta, target.size())).isEqualTo(target);
        return delta;
    }

    private static void requireFailure(ThrowingCallable call, ErrorKind kind, String text) {
        assertThatThrownBy(call)
                .isInstanceOfSatisfying(
                        FoxtailmoorException.class, e -> assertThat(e.kind()).isEqualTo(kind))
                .hasMessageContaining(text);
    }

    /** Guards against a target that is not restored from unrelated or short values. */
    @Property(seed = "1", tries = 500)
    void anyBytesAreRestored(@ForAll byte[] base, @ForAll byte[] target) {
        requireRoundTrip(ByteString.copyFrom(base), ByteString.copyFrom(target));
    }

    /** Guards against an exception without an error kind, or bytes beyond the limit. */
    @Property(seed = "1", tries = 1_000)
    void anyEditsAreAppliedOrRejected(@ForAll byte[] edits) {
        ByteString base = ByteString.copyFromUtf8("base".repeat(20));
        ByteString delta = newDelta(base, output -> output.writeRawBytes(edits));
        try {
            assertThat(ByteDelta.apply(base, delta, 100).size()).isLessThanOrEqualTo(100);
        } catch (FoxtailmoorException e) {
            assertThat(e.kind()).isEqualTo(ErrorKind.PLATFORM_UNAVAILABLE);
        }
    }

    private interface Edits {
        void write(CodedOutputStream output) throws IOException;
    }

    private static ByteString newDelta(ByteString base, Edits edits) {
        CRC32C checksum = new CRC32C();
        checksum.update(base.toByteArray());
        ByteString.Output bytes = ByteString.newOutput();
        CodedOutputStream output = CodedOutputStream.newInstance(bytes);
        try {
            output.writeFixed32NoTag((int) checksum.getValue());
            edits.write(output);
            output.flush();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
        return bytes.toByteString();
    }

    @Nested
    class RoundTrips {
        /** Guards against matches at the wrong place when parts are moved, repeated or changed. */
        @Test
        void ofEditedBytesRestoreTheTarget() {
            Random random = new Random(SEED);
            for (int round = 0; round < 500; round++) {
                int symbols = 1 + random.nextInt(4);
                byte[] base = new byte[random.nextInt(3_000)];
                for (int i = 0; i < base.length; i++) {
                    base[i] = (byte) random.nextInt(symbols);
                }
                ByteString original = ByteString.copyFrom(base);
                ByteString target = ByteString.EMPTY;
                for (int part = random.nextInt(8); part > 0; part--) {
                    int start = random.nextInt(base.length + 1);
                    int end = start + random.nextInt(base.length - start + 1);
                    byte[] inserted = new byte[random.nextInt(50)];
                    random.nextBytes(inserted);
                    target =
                            target.concat(original.substring(start, end))
                                    .concat(ByteString.copyFrom(inserted));
                }
                requireRoundTrip(original, target);
            }
        }

        /** Guards against faults at the edges of a block and of empty values. */
        @Test
        void ofLengthsAroundABlockRestoreTheTarget() {
            byte[] bytes = new byte[70];
            new Random(SEED).nextBytes(bytes);
            for (int base = 0; base <= bytes.length; base++) {
                for (int target = 0; target <= bytes.length; target++) {
                    requireRoundTrip(
                            ByteString.copyFrom(bytes, 0, base),
                            ByteString.copyFrom(bytes, bytes.length - target, target));
                }
            }
        }
    }

    @Nested
    class Sizes {
        private final Random mRandom = new Random(SEED);
        private final RouteDocument mDocument = RouteDocument.random(mRandom);

        private void requireSmall(String change, RouteDocument changed) {
            int size = requireRoundTrip(mDocument.bytes(), changed.bytes()).size();
            System.out.println(
                    "delta of " + change + ": " + size + " bytes of " + changed.bytes().size());
            assertThat(size).isLessThan(1_000);
        }

        /** Guards against deltas in which similar routes hide the unchanged rest. */
        @Test
        void ofChangesOfOneRouteAreSmall() {
            String route = RouteDocument.route(mRandom, 12_000);
            RouteDocument changed = mDocument.with("a-longer-version", 560, route);
            requireSmall("a changed version and route", changed);
            requireSmall("an added route as well", changed.withAdded(300, route));
            requireSmall("a removed route as well", changed.without(800));
            requireSmall("a removed first route", mDocument.without(0));
            requireSmall("a removed last route", mDocument.without(1_119));
        }

        /** Requires a number of compared bytes in proportion to the length of the target. */
        private int requireBoundedWork(byte[] base, byte[] target) {
            ByteString from = ByteString.copyFrom(base);
            ByteString to = ByteString.copyFrom(target);
            ByteString.Output output = ByteString.newOutput();
            long compared = ByteDelta.encode(from, to, output);
            assertThat(compared).isLessThan(MAX_COMPARED_BYTES_PER_TARGET_BYTE * target.length);
            assertThat(ByteDelta.apply(from, output.toByteString(), LIMIT)).isEqualTo(to);
            return output.size();
        }

        /** Guards against quadratic time on values in which all blocks are equal. */
        @Test
        @Timeout(60)
        void ofEqualBytesAreSmallAndTakeBoundedWork() {
            byte[] base = new byte[1_024 * 1_024];
            byte[] target = Arrays.copyOf(base, base.length + 77);
            assertThat(requireBoundedWork(base, target)).isLessThan(1_000);
            for (int i = 0; i < target.length; i += 40) {
                target[i] = 1;
            }
            requireBoundedWork(base, target);
            assertThat(requireBoundedWork(target, base)).isLessThan(500_000);
        }

        /** Guards against quadratic time when one block of the base occurs very often. */
        @Test
        @Timeout(60)
        void ofFrequentBlocksTakeBoundedWork() {
            byte[] base = new byte[1_024 * 1_024];
            byte[] target = new byte[base.length];
            mRandom.nextBytes(base);
            mRandom.nextBytes(target);
            for (int i = 0; i < base.length; i += 2 * BLOCK_BYTES) {
                System.arraycopy(base, 0, base, i, BLOCK_BYTES);
                System.arraycopy(base, 0, target, i, BLOCK_BYTES);
            }
            requireBoundedWork(base, target);
        }
    }

    @Nested
    class MalformedDeltas {
        private final ByteString mBase = ByteString.copyFromUtf8("0123456789");

        private void requireRejected(String text, Edits edits) {
            ByteString delta = newDelta(mBase, edits);
            requireFailure(
                    () -> ByteDelta.apply(mBase, delta, LIMIT),
                    ErrorKind.PLATFORM_UNAVAILABLE,
                    text);
        }

        /** Guards against values that are composed of another base's bytes. */
        @Test
        void ofAnotherBaseAreRejected() {
            ByteString delta = ByteDelta.encode(mBase, mBase);
            requireFailure(
                    () -> ByteDelta.apply(mBase.substring(1), delta, LIMIT),
                    ErrorKind.PLATFORM_HISTORY_LOST,
                    "another base");
        }

        /** Guards against copies that read outside of the base, also after an overflow. */
        @Test
        void withCopiesOutOfRangeAreRejected() {
            for (long offset : new long[] {7, 11, Integer.MAX_VALUE, Long.MAX_VALUE, -1}) {
                requireRejected(
                        "copy of 4 bytes",
                        output -> {
                            output.writeUInt32NoTag(4);
                            output.writeUInt32NoTag(4 << 1 | 1);
                            output.writeUInt64NoTag(offset);
                        });
            }
        }

        /** Guards against edits that write outside of the target, or never end. */
        @Test
        void withLengthsOutOfRangeAreRejected() {
            for (long header : new long[] {0, 1, 5 << 1, 5 << 1 | 1, 1L << 33, -1, -2}) {
                requireRejected(
                        "edit of",
                        output -> {
                            output.writeUInt32NoTag(4);
                            output.writeUInt64NoTag(header);
                            output.writeUInt32NoTag(0);
                        });
            }
        }

        /** Guards against memory use beyond the limit. */
        @Test
        void withTargetsOverTheLimitAreRejected() {
            for (long length : new long[] {LIMIT + 1, 1L << 32, Long.MAX_VALUE, -1}) {
                requireRejected("exceeds the limit", output -> output.writeUInt64NoTag(length));
            }
        }

        /** Guards against bytes that are ignored. */
        @Test
        void withTrailingBytesAreRejected() {
            ByteString delta = ByteDelta.encode(mBase, mBase).concat(mBase);
            requireFailure(
                    () -> ByteDelta.apply(mBase, delta, LIMIT),
                    ErrorKind.PLATFORM_UNAVAILABLE,
                    "bytes follow");
        }

        /** Guards against a target that is cut off without notice. */
        @Test
        void thatAreCutOffAreRejected() {
            ByteString target = ByteString.copyFromUtf8("x".repeat(40)).concat(mBase);
            ByteString delta = ByteDelta.encode(mBase, target);
            for (int length = 0; length < delta.size(); length++) {
                ByteString start = delta.substring(0, length);
                requireFailure(
                        () -> ByteDelta.apply(mBase, start, LIMIT),
                        ErrorKind.PLATFORM_UNAVAILABLE,
                        "malformed delta");
            }
        }
    }
}
