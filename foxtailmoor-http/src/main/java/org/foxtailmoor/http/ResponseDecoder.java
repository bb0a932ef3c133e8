package org.foxtailmoor.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.ChannelOutputShutdownEvent;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Decodes HTTP/1.1 responses and accepts only valid ones.
 *
 * <p>Netty's decoder tolerates many deviations and hides them from the handlers behind it. This
 * class checks the bytes that it has consumed. After a violation it emits one message whose {@link
 * HttpObject#decoderResult()} has failed, and ignores all later bytes of the connection.
 *
 * <p>A body that ends with its connection is complete only if the peer has ended its output in
 * order and has not reset the connection. A write that fails is taken for a reset: reads after it
 * return the bytes that were received before, and then the end of the stream. A reset that follows
 * the end of the output is found only on a {@link ResettableSocketChannel} and for long requests.
 */
public class ResponseDecoder extends HttpResponseDecoder {
    /**
     * Time after the end of the peer's output in which a reset may still follow. A peer that closes
     * a socket with unread bytes ends its output, and resets the connection immediately afterwards.
     */
    static final long RESET_WAIT_MILLISECONDS = 200;

    private final ResponseSyntax mSyntax = new ResponseSyntax();
    private boolean mHeadRequest;
    private boolean mLongRequest;
    private boolean mFailed;
    private boolean mWriteFailed;

    /**
     * Creates a decoder.
     *
     * @param config limits, not null
     */
    public ResponseDecoder(HttpDecoderConfig config) {
        super(config);
    }

    /** Sets whether the next response answers a HEAD request and has no body therefore. */
    public final void setHeadRequest(boolean headRequest) {
        mHeadRequest = headRequest;
    }

    /**
     * Sets whether the next response answers a long request, of which the peer may leave a part
     * unread. A body that ends with its connection is then complete a short time later.
     */
    public final void setLongRequest(boolean longRequest) {
        mLongRequest = longRequest;
    }

    /** Lets the channel report the end of the peer's output instead of closing itself. */
    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        context.channel().config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
        if (event instanceof ChannelInputShutdownEvent) {
            onOutputOfPeerEnded(context);
        } else {
            // Without AUTO_CLOSE, the channel ends its own output after a write that failed.
            mWriteFailed |= event instanceof ChannelOutputShutdownEvent;
            super.userEventTriggered(context, event);
        }
    }

    /** Does not complete a body: the end of the peer's output has been reported before. */
    @Override
    public void channelInactive(ChannelHandlerContext context) {
        context.fireChannelInactive();
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out)
            throws Exception {
        if (mFailed) {
            buffer.skipBytes(buffer.readableBytes());
            return;
        }
        int start = buffer.readerIndex();
        super.decode(context, buffer, out);
        mFailed = hasFailed(out);
        if (mFailed) {
            return;
        }
        try {
            mSyntax.check(buffer, start, buffer.readerIndex(), out);
        } catch (InvalidResponseException e) {
            fail(e, out);
        }
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw BodyLength.twoLengths();
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return mHeadRequest || super.isContentAlwaysEmpty(message);
    }

    private void onOutputOfPeerEnded(ChannelHandlerContext context) throws Exception {
        if (mWriteFailed) {
            context.close();
        } else if (mLongRequest && mSyntax.isBodyEndedByConnection()) {
            context.executor()
                    .schedule(
                            () -> endBodyUnlessReset(context),
                            RESET_WAIT_MILLISECONDS,
                            TimeUnit.MILLISECONDS);
        } else {
            endBody(context);
        }
    }

    private Void endBodyUnlessReset(ChannelHandlerContext context) throws Exception {
        Channel channel = context.channel();
        boolean reset =
                channel instanceof ResettableSocketChannel socketChannel && socketChannel.isReset();
        if (channel.isActive() && !reset && !mWriteFailed) {
            endBody(context);
        } else {
            context.close();
        }
        return null;
    }

    /** Completes a body that ends with its connection, if there is one, and closes the channel. */
    private void endBody(ChannelHandlerContext context) throws Exception {
        super.userEventTriggered(context, ChannelInputShutdownEvent.INSTANCE);
        context.close();
    }

    private static boolean hasFailed(List<Object> messages) {
        for (Object message : messages) {
            if (((HttpObject) message).decoderResult().isFailure()) {
                return true;
            }
        }
        return false;
    }

    /** Replaces the decoded messages by one that has failed. */
    private void fail(InvalidResponseException cause, List<Object> out) {
        mFailed = true;
        out.forEach(ReferenceCountUtil::release);
        out.clear();
        HttpMessage message = createInvalidMessage();
        message.setDecoderResult(DecoderResult.failure(cause));
        out.add(message);
    }
}
