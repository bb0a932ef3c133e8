package org.foxtailmoor.node.data;

import com.google.protobuf.ByteString;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import org.foxtailmoor.core.admission.BodyMemory;

/**
 * Collects a body from pieces into memory reserved from a {@link BodyMemory}.
 *
 * <p>End it with exactly one of {@link #finish()} and {@link #discard()}. A collector whose {@code
 * append} returned false must be discarded.
 */
public final class BodyCollector {
    /** Length of a body whose sender does not announce it. */
    public static final int UNKNOWN_LENGTH = -1;

    private static final int INITIAL_CAPACITY_BYTES = 1_024;

    private final BodyMemory mMemory;
    private final ByteBufAllocator mAllocator;
    private final int mAnnouncedBytes;
    private final int mLimitBytes;
    private ByteBuf mContent;
    private long mReservedBytes;

    private BodyCollector(
            BodyMemory memory, ByteBufAllocator allocator, int announcedBytes, int limitBytes) {
        mMemory = memory;
        mAllocator = allocator;
        mAnnouncedBytes = announcedBytes;
        mLimitBytes = limitBytes;
    }

    /**
     * Creates a collector and reserves the memory of an announced body at once.
     *
     * @param memory memory to reserve from, not null
     * @param allocator source of buffers, not null
     * @param announcedBytes length of the body, or {@link #UNKNOWN_LENGTH}
     * @param limitBytes largest allowed length, at least the announced length
     * @return the collector, or null if the memory does not suffice for the announced length
     */
    public static BodyCollector of(
            BodyMemory memory, ByteBufAllocator allocator, int announcedBytes, int limitBytes) {
        BodyCollector collector = new BodyCollector(memory, allocator, announcedBytes, limitBytes);
        if (announcedBytes > 0 && !collector.reserve(announcedBytes)) {
            return null;
        }
        return collector;
    }

    /**
     * Copies a piece to the end of the body.
     *
     * @return false if the announced length, the limit or the memory does not suffice
     */
    public boolean append(ByteBuf piece) {
        int bytes = piece.readableBytes();
        if (bytes == 0) {
            return true;
        }
        if (!makeRoom(bytes)) {
            return false;
        }
        mContent.writeBytes(piece, piece.readerIndex(), bytes);
        return true;
    }

    /** Copies a piece to the end of the body, see {@link #append(ByteBuf)}. */
    public boolean append(ByteString piece) {
        if (piece.isEmpty()) {
            return true;
        }
        if (!makeRoom(piece.size())) {
            return false;
        }
        mContent.writeBytes(piece.asReadOnlyByteBuffer());
        return true;
    }

    /** Returns the bytes collected so far. */
    public int length() {
        return mContent == null ? 0 : mContent.readableBytes();
    }

    /** Returns whether the body has its announced length; true if none was announced. */
    public boolean isWhole() {
        return mAnnouncedBytes == UNKNOWN_LENGTH || length() == mAnnouncedBytes;
    }

    /**
     * Returns the body, which the caller then owns.
     *
     * @throws IllegalStateException if the body is not whole
     */
    public HeldBody finish() {
        if (!isWhole()) {
            throw new IllegalStateException(
                    "body has " + length() + " of " + mAnnouncedBytes + " bytes");
        }
        if (mContent == null) {
            return HeldBody.empty();
        }
        HeldBody body = new HeldBody(mContent, mMemory, mReservedBytes);
        mContent = null;
        mReservedBytes = 0;
        return body;
    }

    /** Releases what was collected. */
    public void discard() {
        if (mContent != null) {
            mContent.release();
            mContent = null;
        }
        mMemory.release(mReservedBytes);
        mReservedBytes = 0;
    }

    private boolean makeRoom(int bytes) {
        long length = (long) length() + bytes;
        if (mAnnouncedBytes != UNKNOWN_LENGTH) {
            return length <= mAnnouncedBytes;
        }
        if (length > mLimitBytes) {
            return false;
        }
        int capacity = mContent == null ? 0 : mContent.capacity();
        if (length <= capacity) {
            return true;
        }
        long wanted = Math.max(length, Math.max(INITIAL_CAPACITY_BYTES, 2L * capacity));
        return reserve((int) Math.min(wanted, mLimitBytes));
    }

    private boolean reserve(int capacity) {
        long missing = capacity - mReservedBytes;
        if (!mMemory.tryReserve(missing)) {
            return false;
        }
        mReservedBytes += missing;
        if (mContent == null) {
            mContent = mAllocator.directBuffer(capacity, mLimitBytes);
        } else {
            mContent.capacity(capacity);
        }
        return true;
    }
}
