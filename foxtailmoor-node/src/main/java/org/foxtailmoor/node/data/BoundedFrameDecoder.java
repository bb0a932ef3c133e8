package org.foxtailmoor.node.data;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.protobuf.ProtobufVarint32FrameDecoder;
import java.util.List;

/**
 * Splits a stream into frames with a varint length, and rejects frames over a limit before it
 * buffers them. Without the limit a faulty peer could make this node buffer up to 2 GiB.
 */
public final class BoundedFrameDecoder extends ProtobufVarint32FrameDecoder {
    private static final int MAXIMUM_LENGTH_BYTES = 5; // bytes of a 32-bit varint
    private static final int VARINT_PAYLOAD_BITS = 7;
    private static final int VARINT_PAYLOAD_MASK = 0x7f;

    private final int mMaximumFrameBytes;

    /**
     * Creates a decoder.
     *
     * @param maximumFrameBytes largest accepted frame without its length
     */
    public BoundedFrameDecoder(int maximumFrameBytes) {
        mMaximumFrameBytes = maximumFrameBytes;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf input, List<Object> output)
            throws Exception {
        long length = peekLength(input);
        if (length > mMaximumFrameBytes) {
            input.skipBytes(input.readableBytes());
            throw new TooLongFrameException(
                    "frame of " + length + " bytes, at most " + mMaximumFrameBytes + " allowed");
        }
        super.decode(context, input, output);
    }

    private static long peekLength(ByteBuf input) {
        long length = 0;
        int available = Math.min(MAXIMUM_LENGTH_BYTES, input.readableBytes());
        for (int i = 0; i < available; i++) {
            byte next = input.getByte(input.readerIndex() + i);
            length |= (long) (next & VARINT_PAYLOAD_MASK) << (VARINT_PAYLOAD_BITS * i);
            if (next >= 0) {
                return length;
            }
        }
        return 0;
    }
}
