package org.foxtailmoor.node.data;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.util.AbstractReferenceCounted;
import io.netty.util.ReferenceCounted;
import org.foxtailmoor.core.admission.BodyMemory;

/**
 * Complete request or answer body in memory. Its size stays reserved from the node's {@link
 * BodyMemory} until the last reference is released.
 */
public final class BufferedBody extends AbstractReferenceCounted {
    private final ByteBuf mContent;
    private final BodyMemory mMemory;
    private final long mReservedBytes;

    BufferedBody(ByteBuf content, BodyMemory memory, long reservedBytes) {
        mContent = content;
        mMemory = memory;
        mReservedBytes = reservedBytes;
    }

    /** Returns a new empty body, which reserves no memory. */
    public static BufferedBody empty() {
        return new BufferedBody(Unpooled.EMPTY_BUFFER, BodyMemory.of(0), 0);
    }

    /**
     * Returns the content, owned by this body. Read it by absolute index or through a duplicate,
     * because the reader index is shared.
     */
    public ByteBuf content() {
        return mContent;
    }

    /** Returns the length in bytes. */
    public int length() {
        return mContent.readableBytes();
    }

    @Override
    public BufferedBody retain() {
        super.retain();
        return this;
    }

    @Override
    public ReferenceCounted touch(Object hint) {
        mContent.touch(hint);
        return this;
    }

    @Override
    protected void deallocate() {
        mContent.release();
        mMemory.release(mReservedBytes);
    }
}
