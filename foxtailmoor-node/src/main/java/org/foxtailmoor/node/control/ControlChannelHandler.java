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
 * Forwards the messages of one control connection to a listener, and detects an unresponsive peer:
 * a connection on which a message that expects a reply gets none within the timeout.
 */
final class ControlChannelHandler extends ChannelDuplexHandler {
    /** Receives the events of control connections on the control loop. */
    interface Listener {
        /** Called when the peer of an inbound connection has sent its hello with its id. */
        void onHello(ChannelHandlerContext context, String peerId);

        /** Called with each message that follows the hello or arrives on an outbound connection. */
        void onMessage(String peerId, ControlMessage message);

        /** Called when the connection is closed; the peer id is null if no hello was received. */
        void onClosed(ChannelHandlerContext context, String peerId);
    }

    private static final Logger LOGGER = LoggerFactory.getLogger(ControlChannelHandler.class);
    private static final long REPLY_TIMEOUT_NANOSECONDS = TimeUnit.SECONDS.toNanos(3);
    private static final long NO_REPLY_PENDING = Long.MIN_VALUE;

    private final Ticker mTicker;
    private final Listener mListener;
    private String mPeerId;
    private long mReplyPendingSinceNanoseconds = NO_REPLY_PENDING;

    /**
     * Creates a handler.
     *
     * @param ticker clock
     * @param listener receives the events
     * @param peerId id of the peer, or null for an inbound connection, whose peer sends its id in a
     *     hello
     */
    ControlChannelHandler(Ticker ticker, Listener listener, String peerId) {
        mTicker = ticker;
        mListener = listener;
        mPeerId = peerId;
    }

    /**
     * Returns whether nothing was received for longer than the timeout after the first message that
     * expects a reply.
     */
    boolean isUnresponsive() {
        return mReplyPendingSinceNanoseconds != NO_REPLY_PENDING
                && mTicker.nanoTime() - mReplyPendingSinceNanoseconds > REPLY_TIMEOUT_NANOSECONDS;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object object) {
        mReplyPendingSinceNanoseconds = NO_REPLY_PENDING;
        ControlMessage message = (ControlMessage) object;
        if (message.hasHello()) {
            mPeerId = message.getHello().getInstanceId();
            mListener.onHello(context, mPeerId);
            return;
        }
        if (mPeerId == null) {
            LOGGER.warn("closing a control connection whose first message is not a hello");
            context.close();
            return;
        }
        mListener.onMessage(mPeerId, message);
    }

    @Override
    public void write(ChannelHandlerContext context, Object object, ChannelPromise promise) {
        boolean expectsReply =
                object instanceof ControlMessage message
                        && (message.hasFetch() || message.getAdvert().getReplyWanted());
        if (expectsReply && mReplyPendingSinceNanoseconds == NO_REPLY_PENDING) {
            mReplyPendingSinceNanoseconds = mTicker.nanoTime();
        }
        context.write(object, promise);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mListener.onClosed(context, mPeerId);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOGGER.debug(
                "closing the control connection to {} after an error: {}",
                mPeerId,
                cause.toString());
        context.close();
    }
}
