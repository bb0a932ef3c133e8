package org.foxtailmoor.node.control;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.util.concurrent.Ticker;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.protocol.generated.ControlMessage;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Passes the messages of one control connection on, and notices a connection that went silent: one
 * on which a message that asks for an answer stays unanswered for too long.
 */
final class ControlChannelHandler extends ChannelDuplexHandler {
    /** Receives the events of control connections, on the control loop. */
    interface Listener {
        /** Called when the peer of an accepted connection has named itself. */
        void onHello(ChannelHandlerContext context, String peerId);

        /** Called with each message but the hello; the peer is null before the hello. */
        void onMessage(String peerId, ControlMessage message);

        /** Called when the connection has ended; the peer is null before the hello. */
        void onClosed(ChannelHandlerContext context, String peerId);
    }

    private static final Logger LOGGER = LoggerFactory.getLogger(ControlChannelHandler.class);
    private static final long ANSWER_TIMEOUT_NANOSECONDS = TimeUnit.SECONDS.toNanos(3);
    private static final long NOTHING_UNANSWERED = Long.MIN_VALUE;

    private final Ticker mTicker;
    private final Listener mListener;
    private String mPeerId;
    private long mUnansweredSinceNanoseconds = NOTHING_UNANSWERED;

    /**
     * Creates a handler.
     *
     * @param ticker clock
     * @param listener receiver of the events
     * @param peerId id of the peer, null on accepted connections until the peer names itself
     */
    ControlChannelHandler(Ticker ticker, Listener listener, String peerId) {
        mTicker = ticker;
        mListener = listener;
        mPeerId = peerId;
    }

    /** Returns whether a question has stayed unanswered for longer than the timeout. */
    boolean isSilent() {
        return mUnansweredSinceNanoseconds != NOTHING_UNANSWERED
                && mTicker.nanoTime() - mUnansweredSinceNanoseconds > ANSWER_TIMEOUT_NANOSECONDS;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object object) {
        mUnansweredSinceNanoseconds = NOTHING_UNANSWERED;
        ControlMessage message = (ControlMessage) object;
        if (message.hasHello()) {
            mPeerId = message.getHello().getInstanceId();
            mListener.onHello(context, mPeerId);
            return;
        }
        if (mPeerId == null) {
            LOGGER.warn("closing a control connection whose peer sent no hello");
            context.close();
            return;
        }
        mListener.onMessage(mPeerId, message);
    }

    @Override
    public void write(ChannelHandlerContext context, Object object, ChannelPromise promise) {
        boolean asksForAnswer =
                object instanceof ControlMessage message
                        && (message.hasFetch() || message.getAdvert().getReplyWanted());
        if (asksForAnswer && mUnansweredSinceNanoseconds == NOTHING_UNANSWERED) {
            mUnansweredSinceNanoseconds = mTicker.nanoTime();
        }
        context.write(object, promise);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mListener.onClosed(context, mPeerId);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOGGER.debug("control connection to {} failed: {}", mPeerId, cause.toString());
        context.close();
    }
}
