package org.foxtailmoor.node.data;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.util.AbstractReferenceCounted;
import io.netty.util.ReferenceCounted;
import org.foxtailmoor.core.admission.BodyMemory;

/**
 * A whole request or answer body that counts against the node's {@link BodyMemory} until its last
 * reference is released.
 */
public final class HeldBody extends AbstractReferenceCounted {
    private final ByteBuf mContent;
    private final BodyMemory mMemory;
    private final long mReservedBytes;

    HeldBody(ByteBuf content, BodyMemory memory, long reservedBytes) {
        mContent = content;
        mMemory = memory;
        mReservedBytes = reservedBytes;
    }

    /** Returns a new body without content, which reserves no memory. */
    public static HeldBody empty() {
        return new HeldBody(Unpooled.EMPTY_BUFFER, BodyMemory.of(0), 0);
    }

    /**
     * Returns the content, which stays owned by this body. Read it by index or through a duplicate;
     * the reader index is shared.
     */
    public ByteBuf content() {
        return mContent;
    }

    /** Returns the length in bytes. */
    public int length() {
        return mContent.readableBytes();
    }

    @Override
    public HeldBody retain() {
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
