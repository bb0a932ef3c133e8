package org.foxtailmoor.node.data;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.util.collection.LongObjectHashMap;
import io.netty.util.concurrent.Ticker;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.core.admission.BodyMemory;
import org.foxtailmoor.protocol.generated.BodyChunk;
import org.foxtailmoor.protocol.generated.Load;
import org.foxtailmoor.protocol.generated.Pong;
import org.foxtailmoor.protocol.generated.Refusal;
import org.foxtailmoor.protocol.generated.RequestMessage;
import org.foxtailmoor.protocol.generated.RequestStart;
import org.foxtailmoor.protocol.generated.ResponseStart;

/**
 * The entry's end of one connection to another node, which carries many requests at once.
 *
 * <p>Each request is a stream with its own number. A stream ends with a refusal, or with an answer
 * whose last chunk is marked and whose length is the announced one. Frames of unknown streams
 * belong to requests that have ended and are dropped.
 */
final class Link extends SimpleChannelInboundHandler<RequestMessage> {
    /** Interval of pings; each answer also carries the load of the peer's target. */
    static final long PING_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(400);

    /** A link without any frame for this long is closed. */
    static final long SILENCE_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(1_500);

    /** Most streams that are open on one link at once. */
    static final int MAXIMUM_STREAMS = 1_024;

    private static final int MAXIMUM_STATUS = 599;
    private static final int MINIMUM_STATUS = 200;

    /** Is told about the link as a whole. */
    interface Listener {
        /** Takes the load that the peer reported. */
        void onLoad(Link link, Load load);

        /** Takes the time between a ping and its answer. */
        void onRoundTrip(Link link, long nanoseconds);

        /** Is called when the peer's upstream is leaving. */
        void onGoingAway(Link link);

        /**
         * Is called once, after every open stream got its outcome.
         *
         * @param failed whether requests were open or the peer was silent
         */
        void onClosed(Link link, boolean failed);
    }

    private static final class Stream {
        private final AttemptListener mListener;
        private boolean mSent;
        private ResponseStart mStart;
        private BodyCollector mBody;

        Stream(AttemptListener listener) {
            mListener = listener;
        }

        void discardBody() {
            if (mBody != null) {
                mBody.discard();
            }
        }
    }

    private final Channel mChannel;
    private final BodyMemory mMemory;
    private final Ticker mTicker;
    private final Listener mListener;
    private final BodySender mSender;
    private final LongObjectHashMap<Stream> mStreams = new LongObjectHashMap<>();
    private long mLastStream;
    private long mPingSequence;
    private long mPingSentNanoseconds;
    private long mFrameReceivedNanoseconds;
    private boolean mAnswered;
    private boolean mClosed;
    private boolean mSilent;

    /**
     * Creates the handler of a connected channel, which has the handlers of {@link Frames} already.
     */
    Link(Channel channel, BodyMemory memory, Ticker ticker, Listener listener) {
        mChannel = channel;
        mMemory = memory;
        mTicker = ticker;
        mListener = listener;
        mSender = new BodySender(channel);
        mFrameReceivedNanoseconds = ticker.nanoTime();
        mPingSentNanoseconds = mFrameReceivedNanoseconds;
    }

    /** Greets the peer and sends the first ping. */
    void start(String instanceId, long incarnation) {
        mChannel.write(Frames.hello(instanceId, incarnation));
        sendPing();
    }

    /** Returns whether another stream may be opened. */
    boolean hasRoom() {
        return !mClosed && mStreams.size() < MAXIMUM_STREAMS;
    }

    /** Returns whether the peer has sent any frame. */
    boolean hasAnswered() {
        return mAnswered;
    }

    /** Returns the number of open streams. */
    int openStreams() {
        return mStreams.size();
    }

    /** Returns the time of the last frame received, by the ticker. */
    long frameReceivedNanoseconds() {
        return mFrameReceivedNanoseconds;
    }

    /** Returns whether a ping has had neither a pong nor any other frame for a time. */
    boolean isUnansweredFor(long nanoseconds) {
        return mPingSentNanoseconds - mFrameReceivedNanoseconds > 0
                && mTicker.nanoTime() - mPingSentNanoseconds >= nanoseconds;
    }

    /**
     * Sends a request.
     *
     * @param start what to send
     * @param body whole body; owned by the link from now on
     * @param listener is told the outcome unless the request is cancelled
     * @return cancellation, which also tells the peer
     */
    Cancellable open(RequestStart start, HeldBody body, AttemptListener listener) {
        long number = ++mLastStream;
        Stream stream = new Stream(listener);
        mStreams.put(number, stream);
        mSender.send(Frames.requestStart(number, start), body, written -> stream.mSent = true);
        return () -> cancel(number);
    }

    /** Pings the peer when it is time, and closes the link when it has been silent for too long. */
    void tick() {
        if (mClosed) {
            return;
        }
        long now = mTicker.nanoTime();
        if (now - mFrameReceivedNanoseconds >= SILENCE_NANOSECONDS) {
            mSilent = true;
            close();
        } else if (now - mPingSentNanoseconds >= PING_NANOSECONDS) {
            sendPing();
        }
    }

    /** Sends a ping now. */
    void sendPing() {
        mPingSentNanoseconds = mTicker.nanoTime();
        mChannel.writeAndFlush(Frames.ping(++mPingSequence));
    }

    /** Closes the connection; open streams fail. */
    void close() {
        mChannel.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, RequestMessage message) {
        mFrameReceivedNanoseconds = mTicker.nanoTime();
        mAnswered = true;
        switch (message.getKindCase()) {
            case RESPONSE_START -> onResponseStart(message.getStream(), message.getResponseStart());
            case BODY_CHUNK -> onChunk(message.getStream(), message.getBodyChunk());
            case REFUSAL -> onRefusal(message.getStream(), message.getRefusal());
            case PONG -> onPong(message.getPong());
            case GOING_AWAY -> mListener.onGoingAway(this);
            default -> {
                // A hello only proves that the peer is there; later kinds are unknown here.
            }
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        mSender.pump();
        context.fireChannelWritabilityChanged();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mClosed = true;
        mSender.close();
        List<Stream> open = new ArrayList<>(mStreams.values());
        mStreams.clear();
        open.forEach(Link::lose);
        mListener.onClosed(this, mSilent || !open.isEmpty());
        context.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }

    private static void lose(Stream stream) {
        stream.discardBody();
        stream.mListener.onLost(stream.mSent);
    }

    private void cancel(long number) {
        Stream stream = mStreams.remove(number);
        if (stream == null) {
            return;
        }
        mSender.forget(number);
        stream.discardBody();
        mChannel.writeAndFlush(Frames.cancel(number));
    }

    private void onPong(Pong pong) {
        mListener.onLoad(this, pong.getLoad());
        if (pong.getSequence() == mPingSequence) {
            mListener.onRoundTrip(this, mTicker.nanoTime() - mPingSentNanoseconds);
        }
    }

    private void onResponseStart(long number, ResponseStart start) {
        mListener.onLoad(this, start.getLoad());
        Stream stream = mStreams.get(number);
        if (stream == null) {
            return;
        }
        if (stream.mStart != null || !isValid(start)) {
            fail(number, ErrorKind.UPSTREAM_FAILED, "the home node sent a malformed answer");
            return;
        }
        int bytes = start.getBodyBytes();
        stream.mStart = start;
        stream.mBody = BodyCollector.of(mMemory, mChannel.alloc(), bytes, bytes);
        if (stream.mBody == null) {
            fail(
                    number,
                    ErrorKind.UPSTREAM_FAILED,
                    "the answer of " + bytes + " bytes exceeds the node's body memory");
        }
    }

    private void onChunk(long number, BodyChunk chunk) {
        Stream stream = mStreams.get(number);
        if (stream == null) {
            return;
        }
        boolean fits = stream.mBody != null && stream.mBody.append(chunk.getContent());
        if (!fits || (chunk.getLast() && !stream.mBody.isWhole())) {
            fail(number, ErrorKind.UPSTREAM_FAILED, "the answer has not its announced length");
            return;
        }
        if (chunk.getLast()) {
            mStreams.remove(number);
            ResponseStart start = stream.mStart;
            stream.mListener.onOutcome(
                    new Outcome.Answer(
                            start.getStatus(),
                            start.getHeadersList(),
                            stream.mBody.finish(),
                            start.getReplayed()));
        }
    }

    private void onRefusal(long number, Refusal refusal) {
        mListener.onLoad(this, refusal.getLoad());
        Stream stream = mStreams.remove(number);
        if (stream == null) {
            return;
        }
        mSender.forget(number);
        stream.discardBody();
        stream.mListener.onOutcome(
                new Outcome.Failure(
                        ErrorKind.of(refusal.getKind()),
                        refusal.getMessage(),
                        refusal.getRetryAfterMilliseconds()));
    }

    private void fail(long number, ErrorKind kind, String message) {
        OutcomeListener listener = mStreams.get(number).mListener;
        cancel(number);
        listener.onOutcome(Outcome.Failure.of(kind, message));
    }

    private static boolean isValid(ResponseStart start) {
        return start.getStatus() >= MINIMUM_STATUS
                && start.getStatus() <= MAXIMUM_STATUS
                && start.getBodyBytes() >= 0;
    }
}
