package org.foxtailmoor.node.data;

import com.google.protobuf.ByteString;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import org.foxtailmoor.core.admission.BodyMemory;

/**
 * Assembles a body from chunks in a buffer whose size is reserved from a {@link BodyMemory}.
 *
 * <p>The owner must call exactly one of {@link #finish()} and {@link #discard()}. After {@code
 * append} has returned false, only {@code discard} is allowed.
 */
public final class BodyCollector {
    /** Expected length of a body whose sender does not declare one. */
    public static final int UNKNOWN_LENGTH = -1;

    private static final int INITIAL_CAPACITY_BYTES = 1_024;

    private final BodyMemory mMemory;
    private final ByteBufAllocator mAllocator;
    private final int mExpectedBytes;
    private final int mLimitBytes;
    private ByteBuf mContent;
    private long mReservedBytes;

    private BodyCollector(
            BodyMemory memory, ByteBufAllocator allocator, int expectedBytes, int limitBytes) {
        mMemory = memory;
        mAllocator = allocator;
        mExpectedBytes = expectedBytes;
        mLimitBytes = limitBytes;
    }

    /**
     * Creates a collector. If the body length is declared, its memory is reserved immediately.
     *
     * @param memory memory to reserve from, not null
     * @param allocator source of buffers, not null
     * @param expectedBytes declared length of the body, or {@link #UNKNOWN_LENGTH}
     * @param limitBytes maximum length, at least the declared length
     * @return the collector, or null if the memory cannot hold the declared length
     */
    public static BodyCollector of(
            BodyMemory memory, ByteBufAllocator allocator, int expectedBytes, int limitBytes) {
        BodyCollector collector = new BodyCollector(memory, allocator, expectedBytes, limitBytes);
        if (expectedBytes > 0 && !collector.reserve(expectedBytes)) {
            return null;
        }
        return collector;
    }

    /**
     * Appends a copy of a chunk to the body.
     *
     * @return false if the chunk exceeds the declared length, the limit or the available memory
     */
    public boolean append(ByteBuf chunk) {
        int bytes = chunk.readableBytes();
        if (bytes == 0) {
            return true;
        }
        if (!ensureCapacity(bytes)) {
            return false;
        }
        mContent.writeBytes(chunk, chunk.readerIndex(), bytes);
        return true;
    }

    /** Appends a copy of a chunk to the body, see {@link #append(ByteBuf)}. */
    public boolean append(ByteString chunk) {
        if (chunk.isEmpty()) {
            return true;
        }
        if (!ensureCapacity(chunk.size())) {
            return false;
        }
        mContent.writeBytes(chunk.asReadOnlyByteBuffer());
        return true;
    }

    /** Returns the number of bytes collected so far. */
    public int length() {
        return mContent == null ? 0 : mContent.readableBytes();
    }

    /** Returns whether the body has its declared length; true if no length was declared. */
    public boolean isComplete() {
        return mExpectedBytes == UNKNOWN_LENGTH || length() == mExpectedBytes;
    }

    /**
     * Returns the body; its ownership passes to the caller.
     *
     * @throws IllegalStateException if the body is not complete
     */
    public BufferedBody finish() {
        if (!isComplete()) {
            throw new IllegalStateException(
                    "body is incomplete: " + length() + " of " + mExpectedBytes + " bytes");
        }
        if (mContent == null) {
            return BufferedBody.empty();
        }
        BufferedBody body = new BufferedBody(mContent, mMemory, mReservedBytes);
        mContent = null;
        mReservedBytes = 0;
        return body;
    }

    /** Releases the buffer and its reserved memory. */
    public void discard() {
        if (mContent != null) {
            mContent.release();
            mContent = null;
        }
        mMemory.release(mReservedBytes);
        mReservedBytes = 0;
    }

    private boolean ensureCapacity(int bytes) {
        long length = (long) length() + bytes;
        if (mExpectedBytes != UNKNOWN_LENGTH) {
            return length <= mExpectedBytes;
        }
        if (length > mLimitBytes) {
            return false;
        }
        int capacity = mContent == null ? 0 : mContent.capacity();
        if (length <= capacity) {
            return true;
        }
        long newCapacity = Math.max(length, Math.max(INITIAL_CAPACITY_BYTES, 2L * capacity));
        return reserve((int) Math.min(newCapacity, mLimitBytes));
    }

    private boolean reserve(int capacity) {
        long additionalBytes = capacity - mReservedBytes;
        if (!mMemory.tryReserve(additionalBytes)) {
            return false;
        }
        mReservedBytes += additionalBytes;
        if (mContent == null) {
            mContent = mAllocator.directBuffer(capacity, mLimitBytes);
        } else {
            mContent.capacity(capacity);
        }
        return true;
    }
}
