package org.foxtailmoor.node.data;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import java.util.List;
import org.foxtailmoor.http.ResponseDecoder;

/**
 * Decodes the answers on a connection to the target and reports bytes that belong to none: bytes
 * that arrive while no answer is expected close the connection.
 */
final class TargetResponseDecoder extends ResponseDecoder {
    private boolean mExpectingAnswer;
    private boolean mUnreadBytes;
    private long mDecodedBytes;

    TargetResponseDecoder(HttpDecoderConfig config) {
        super(config);
    }

    /**
     * Starts to accept an answer.
     *
     * @param headRequest whether the answer has no body because it answers a HEAD request
     * @param longRequest whether the target may answer before it has read the request
     */
    void expectAnswer(boolean headRequest, boolean longRequest) {
        mExpectingAnswer = true;
        setHeadRequest(headRequest);
        setLongRequest(longRequest);
        mDecodedBytes = 0;
    }

    /** Ends the acceptance of an answer, because it is complete or no longer needed. */
    void endAnswer() {
        mExpectingAnswer = false;
    }

    /** Returns whether bytes have been received beyond the last decoded message. */
    boolean hasUnreadBytes() {
        return mUnreadBytes;
    }

    /** Returns the number of bytes that have been decoded for the expected answer. */
    long decodedBytes() {
        return mDecodedBytes;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out)
            throws Exception {
        if (!mExpectingAnswer) {
            buffer.skipBytes(buffer.readableBytes());
            context.close();
            return;
        }
        int start = buffer.readerIndex();
        super.decode(context, buffer, out);
        mDecodedBytes += buffer.readerIndex() - start;
        mUnreadBytes = buffer.isReadable();
    }
}
