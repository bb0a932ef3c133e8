package org.foxtailmoor.core.source;

import com.google.protobuf.ByteString;
import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Arrays;
import java.util.Objects;
import java.util.zip.CRC32C;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.base.FoxtailmoorException;

/**
 * Encodes the difference between two byte strings as copies from the base and inserted bytes.
 *
 * <p>A delta is the CRC-32C of the base (fixed32), the length of the target (varint) and the edits
 * in the order of the target. An edit starts with a varint of its length times two, plus one for a
 * copy. The offset in the base (varint) follows for a copy, and the bytes for an insert. An edit
 * has at least one byte.
 */
public final class ByteDelta {
    private static final int BLOCK_BYTES = 32;
    private static final int MAX_CANDIDATES = 16;

    private ByteDelta() {}

    /**
     * Encodes a target as a delta to a base. Takes time in proportion to the sum of both lengths.
     *
     * @param base bytes that the receiver has, not null
     * @param target bytes that {@link #apply} is to return, not null
     */
    public static ByteString encode(ByteString base, ByteString target) {
        ByteString.Output output = ByteString.newOutput();
        encode(base, target, output);
        return output.toByteString();
    }

    /** Writes the delta to an output and returns the number of bytes compared to find matches. */
    static long encode(ByteString base, ByteString target, ByteString.Output output) {
        Objects.requireNonNull(base, "base");
        Objects.requireNonNull(target, "target");
        try {
            CodedOutputStream delta = CodedOutputStream.newInstance(output);
            delta.writeFixed32NoTag(checksum(base));
            delta.writeUInt32NoTag(target.size());
            Encoder encoder = new Encoder(base.toByteArray(), target.toByteArray(), delta);
            encoder.writeEdits();
            delta.flush();
            return encoder.mComparedBytes;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Returns the target of a delta.
     *
     * @param base bytes that the delta was encoded against, not null
     * @param delta result of {@link #encode}, not null
     * @param maxBytes maximum length of the target
     * @throws FoxtailmoorException of kind PLATFORM_HISTORY_LOST if the delta was encoded against
     *     another base, of kind PLATFORM_UNAVAILABLE if the delta is malformed or its target
     *     exceeds the maximum length
     */
    public static ByteString apply(ByteString base, ByteString delta, int maxBytes) {
        Objects.requireNonNull(base, "base");
        CodedInputStream input = delta.newCodedInput();
        try {
            if (input.readFixed32() != checksum(base)) {
                throw FoxtailmoorException.of(
                        ErrorKind.PLATFORM_HISTORY_LOST, "the delta refers to another base");
            }
            long length = input.readUInt64();
            if (length < 0 || length > maxBytes) {
                throw malformed(
                        "target of "
                                + Long.toUnsignedString(length)
                                + " bytes exceeds the limit of "
                                + maxBytes,
                        null);
            }
            byte[] target = new byte[(int) length];
            int position = 0;
            while (position < target.length) {
                position += applyEdit(base, input, target, position);
            }
            if (!input.isAtEnd()) {
                throw malformed("bytes follow the last edit", null);
            }
            return ByteString.copyFrom(target);
        } catch (IOException e) {
            throw malformed(e.getMessage(), e);
        }
    }

    /** Applies the next edit at a position of the target and returns its length. */
    private static int applyEdit(
            ByteString base, CodedInputStream input, byte[] target, int position)
            throws IOException {
        long header = input.readUInt64();
        long length = header >>> 1;
        if (length == 0 || length > target.length - position) {
            throw malformed("edit of " + length + " bytes at " + position, null);
        }
        int count = (int) length;
        if ((header & 1) == 0) {
            System.arraycopy(input.readRawBytes(count), 0, target, position, count);
            return count;
        }
        long offset = input.readUInt64();
        if (offset < 0 || offset > base.size() - length) {
            throw malformed(
                    "copy of "
                            + length
                            + " bytes at "
                            + Long.toUnsignedString(offset)
                            + " of a base of "
                            + base.size(),
                    null);
        }
        base.copyTo(target, (int) offset, position, count);
        return count;
    }

    private static int checksum(ByteString bytes) {
        CRC32C checksum = new CRC32C();
        bytes.asReadOnlyByteBufferList().forEach(checksum::update);
        return (int) checksum.getValue();
    }

    private static FoxtailmoorException malformed(String reason, Throwable cause) {
        return FoxtailmoorException.of(
                ErrorKind.PLATFORM_UNAVAILABLE, "malformed delta: " + reason, cause);
    }

    /** Equal bytes of the base and the target. */
    private record Match(int baseStart, int targetStart, int length) {}

    /**
     * Finds matches by a rolling hash over the target and an index of the base's blocks. The bytes
     * that it compares are limited by the number of candidates times the length of the target: a
     * match is at least as long as the comparison of each rejected candidate, and the bytes before
     * it are compared backwards only until they are written.
     */
    private static final class Encoder {
        private static final int NONE = -1;
        private static final long HASH_FACTOR = 0x9E3779B97F4A7C15L;

        private final byte[] mBase;
        private final byte[] mTarget;
        private final CodedOutputStream mOutput;
        private final int[] mFirstBlocks;
        private final int[] mNextBlocks;
        private final int mBucketShift;
        private final long mLeadingFactor;
        private int mWritten;
        private int mAlignment;
        private long mComparedBytes;

        Encoder(byte[] base, byte[] target, CodedOutputStream output) {
            mBase = base;
            mTarget = target;
            mOutput = output;
            int blocks = base.length / BLOCK_BYTES;
            int bucketBits = Integer.SIZE - Integer.numberOfLeadingZeros(blocks) + 1;
            mBucketShift = Long.SIZE - bucketBits;
            mFirstBlocks = new int[1 << bucketBits];
            mNextBlocks = new int[blocks];
            Arrays.fill(mFirstBlocks, NONE);
            for (int block = blocks - 1; block >= 0; block--) {
                int bucket = bucketOf(hash(base, block * BLOCK_BYTES));
                mNextBlocks[block] = mFirstBlocks[bucket];
                mFirstBlocks[bucket] = block;
            }
            long factor = 1;
            for (int i = 0; i < BLOCK_BYTES; i++) {
                factor *= HASH_FACTOR;
            }
            mLeadingFactor = factor;
        }

        void writeEdits() throws IOException {
            int last = mTarget.length - BLOCK_BYTES;
            int position = 0;
            long hash = last < 0 ? 0 : hash(mTarget, 0);
            while (position <= last) {
                Match match = longestMatch(position, hash);
                if (match != null) {
                    writeInsert(match.targetStart());
                    writeCopy(match);
                    position = mWritten;
                    hash = position <= last ? hash(mTarget, position) : 0;
                } else {
                    if (position < last) {
                        hash =
                                hash * HASH_FACTOR
                                        + mTarget[position + BLOCK_BYTES]
                                        - mTarget[position] * mLeadingFactor;
                    }
                    position++;
                }
            }
            writeInsert(mTarget.length);
        }

        /** Returns the longest match of the target's block at a position, or null without one. */
        private Match longestMatch(int position, long hash) {
            // After an edit that keeps the length, the base continues at the same alignment.
            Match longest = matchAt(position + mAlignment, position);
            int block = mFirstBlocks[bucketOf(hash)];
            for (int i = 0; i < MAX_CANDIDATES && block != NONE; i++) {
                Match match = matchAt(block * BLOCK_BYTES, position);
                if (match != null && (longest == null || match.length() > longest.length())) {
                    longest = match;
                }
                block = mNextBlocks[block];
            }
            return longest;
        }

        private Match matchAt(int baseStart, int targetStart) {
            if (baseStart < 0 || baseStart > mBase.length - BLOCK_BYTES) {
                return null;
            }
            int mismatch =
                    Arrays.mismatch(
                            mBase, baseStart, mBase.length, mTarget, targetStart, mTarget.length);
            int after = mismatch < 0 ? mBase.length - baseStart : mismatch;
            mComparedBytes += after + 1;
            if (after < BLOCK_BYTES) {
                return null;
            }
            int before = 0;
            int limit = Math.min(baseStart, targetStart - mWritten);
            while (before < limit
                    && mBase[baseStart - before - 1] == mTarget[targetStart - before - 1]) {
                before++;
            }
            mComparedBytes += before + 1;
            return new Match(baseStart - before, targetStart - before, before + after);
        }

        private void writeInsert(int end) throws IOException {
            int length = end - mWritten;
            if (length > 0) {
                mOutput.writeUInt64NoTag((long) length << 1);
                mOutput.writeRawBytes(mTarget, mWritten, length);
                mWritten = end;
            }
        }

        private void writeCopy(Match match) throws IOException {
            mOutput.writeUInt64NoTag((long) match.length() << 1 | 1);
            mOutput.writeUInt64NoTag(match.baseStart());
            mWritten += match.length();
            mAlignment = match.baseStart() - match.targetStart();
        }

        private int bucketOf(long hash) {
            return (int) (hash * HASH_FACTOR >>> mBucketShift);
        }

        private static long hash(byte[] bytes, int start) {
            long hash = 0;
            for (int i = start; i < start + BLOCK_BYTES; i++) {
                hash = hash * HASH_FACTOR + bytes[i];
            }
            return hash;
        }
    }
}
