package org.foxtailmoor.node.data;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.util.collection.LongObjectHashMap;
import io.netty.util.collection.LongObjectMap;
import io.netty.util.concurrent.Ticker;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.core.admission.BodyMemory;
import org.foxtailmoor.core.admission.TransitDelay;
import org.foxtailmoor.core.routing.Balancer;
import org.foxtailmoor.protocol.generated.BodyChunk;
import org.foxtailmoor.protocol.generated.CrashExchange;
import org.foxtailmoor.protocol.generated.Load;
import org.foxtailmoor.protocol.generated.Pong;
import org.foxtailmoor.protocol.generated.Refusal;
import org.foxtailmoor.protocol.generated.RequestMessage;
import org.foxtailmoor.protocol.generated.RequestStart;
import org.foxtailmoor.protocol.generated.ResponseStart;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Entry node's end of a link, a connection to another node that multiplexes requests.
 *
 * <p>Each request is a stream with its own number. A stream ends with a refusal, or with an answer
 * whose last chunk is flagged and whose length matches the declared one. Frames of unknown streams
 * belong to requests that have ended and are discarded.
 */
final class Link extends SimpleChannelInboundHandler<RequestMessage> {
    private static final Logger LOGGER = LoggerFactory.getLogger(Link.class);

    /** Ping interval; each pong also carries the load of the peer's target. */
    static final long PING_INTERVAL_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(400);

    /** A link that receives no frame for this long is closed, and its requests go elsewhere. */
    static final long RECEIVE_TIMEOUT_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(1_500);

    /**
     * The same limit while requests are open that must not be sent elsewhere. A full link delays
     * frames for seconds, and closing it would lose requests that run.
     */
    static final long LONG_RECEIVE_TIMEOUT_NANOSECONDS = TimeUnit.SECONDS.toNanos(5);

    /** Maximum number of concurrently open streams of a link. */
    static final int MAX_OPEN_STREAMS = 1_024;

    /**
     * Number of pings whose times are kept. Over a saturated link, a pong arrives after further
     * pings were sent; 16 pings cover {@link #LONG_RECEIVE_TIMEOUT_NANOSECONDS}.
     */
    private static final int REMEMBERED_PINGS = 16;

    /**
     * Bytes of frames above the low-water mark of the channel that may wait for the operating
     * system. Body chunks stay within the marks, so that only start frames and small messages can
     * exceed them. 1 MiB holds about 2,000 requests without bodies and leaves a link of 7 Mbit/s
     * within its receive timeout.
     */
    static final long MAX_UNSENT_BYTES = 1L << 20;

    private static final String MALFORMED_ANSWER = "the home node sent a malformed answer";
    private static final int MAX_STATUS = 599;
    private static final int MIN_STATUS = 200;

    /** Receives events that concern the whole link. */
    interface Listener {
        /** Called with the load that the peer reported. */
        void onLoad(Link link, Load load);

        /** Called with the time between a ping and its pong. */
        void onRoundTrip(Link link, long nanoseconds);

        /** Called when the peer reports that its upstream is leaving. */
        void onGoingAway(Link link);

        /** Called with crash counts that the peer sent. */
        void onCrashExchange(Link link, CrashExchange message);

        /**
         * Called once, after every open stream has got its outcome.
         *
         * @param failed whether streams were open or the receive timeout expired
         */
        void onClosed(Link link, boolean failed);
    }

    /** Request with a long body that is sent when the peer has said how it receives such bodies. */
    private record HeldRequest(RequestStart start, BufferedBody body) {}

    private static final class Stream {
        private final AttemptListener mListener;
        private final boolean mIdempotent;
        private HeldRequest mHeld;
        private boolean mFullySent;
        private ResponseStart mStart;
        private BodyCollector mBody;

        Stream(AttemptListener listener, boolean idempotent) {
            mListener = listener;
            mIdempotent = idempotent;
        }

        void discardBody() {
            if (mHeld != null) {
                mHeld.body().release();
                mHeld = null;
            }
            if (mBody != null) {
                mBody.discard();
            }
        }
    }

    private final class StreamCancellation implements Cancellable {
        private final long mNumber;
        private final Stream mStream;

        StreamCancellation(long number, Stream stream) {
            mNumber = number;
            mStream = stream;
        }

        @Override
        public void cancel() {
            Link.this.cancel(mNumber);
        }

        @Override
        public boolean isUnsent() {
            return !mStream.mFullySent;
        }
    }

    private final Channel mChannel;
    private final BodyMemory mMemory;
    private final Ticker mTicker;
    private final Listener mListener;
    private final BodySender mSender;
    private final LongObjectHashMap<Stream> mStreams = new LongObjectHashMap<>();
    private long mLastStreamNumber;
    private long mPingSequence;
    private long mPingSentNanoseconds;
    private final long[] mPingTimes = new long[REMEMBERED_PINGS];
    private long mMinRoundTripNanoseconds = Long.MAX_VALUE;
    private long mFrameReceivedNanoseconds;
    private boolean mFrameReceived;
    private boolean mGreeted;
    private boolean mPeerGrantsBodies;
    private boolean mClosed;
    private boolean mTimedOut;

    /**
     * Creates the handler of a connected channel whose pipeline already has the handlers of {@link
     * Frames}.
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

    /** Sends the hello frame and the first ping. */
    void start(String instanceId, long incarnation) {
        mChannel.write(Frames.hello(instanceId, incarnation));
        sendPing();
    }

    /** Returns whether another stream can be opened. */
    boolean canOpenStream() {
        boolean silent = silenceNanoseconds() >= RECEIVE_TIMEOUT_NANOSECONDS;
        return !mClosed
                && !silent
                && mStreams.size() < MAX_OPEN_STREAMS
                && mChannel.bytesBeforeWritable() <= MAX_UNSENT_BYTES;
    }

    /** Returns whether any frame has been received. */
    boolean hasReceivedFrame() {
        return mFrameReceived;
    }

    int openStreams() {
        return mStreams.size();
    }

    /** Returns the ticker time at which the last frame was received. */
    long frameReceivedNanoseconds() {
        return mFrameReceivedNanoseconds;
    }

    /**
     * Returns whether no frame has been received since the last ping, sent at least this long ago.
     */
    boolean isPingUnansweredFor(long nanoseconds) {
        return mPingSentNanoseconds - mFrameReceivedNanoseconds > 0
                && mTicker.nanoTime() - mPingSentNanoseconds >= nanoseconds;
    }

    /**
     * Sends a request.
     *
     * @param start start frame content
     * @param body complete body; ownership passes to the link
     * @param listener receives the outcome unless the request is cancelled
     * @return handle to cancel the request, which also notifies the peer
     */
    Cancellable openStream(RequestStart start, BufferedBody body, AttemptListener listener) {
        long number = ++mLastStreamNumber;
        Stream stream = new Stream(listener, start.getIdempotent());
        mStreams.put(number, stream);
        boolean isLong = body.length() > Balancer.LONG_BODY_BYTES;
        if (isLong && !mGreeted) {
            stream.mHeld = new HeldRequest(start, body);
        } else {
            send(number, stream, start, body, isLong && mPeerGrantsBodies);
        }
        return new StreamCancellation(number, stream);
    }

    private void send(
            long number, Stream stream, RequestStart queued, BufferedBody body, boolean onGrant) {
        RequestStart start = withTimeLeftNow(queued);
        if (onGrant) {
            RequestStart granted = start.toBuilder().setBodyOnGrant(true).build();
            mSender.sendOnGrant(
                    Frames.requestStart(number, granted),
                    body,
                    written -> stream.mFullySent = true);
        } else {
            mSender.send(
                    Frames.requestStart(number, start), body, written -> stream.mFullySent = true);
        }
    }

    /**
     * Takes the time since a request was created, in which it may have waited for the connection or
     * the greeting, and half of the shortest round trip off the remaining times that it states. The
     * receiver adds only what the transit takes beyond that; see {@link TransitDelay}.
     */
    private RequestStart withTimeLeftNow(RequestStart start) {
        if (start.getSentMicroseconds() == 0) {
            return start;
        }
        long now = TransitDelay.timestampMicroseconds(mTicker.nanoTime());
        long spent = now - start.getSentMicroseconds() + shortestTransitMicroseconds();
        long milliseconds = TimeUnit.MICROSECONDS.toMillis(spent);
        if (milliseconds <= 0) {
            return start;
        }
        long left = Integer.toUnsignedLong(start.getDeadlineMilliseconds()) - milliseconds;
        long objective = start.getLatencyObjectiveMilliseconds() - milliseconds;
        return start.toBuilder()
                .setDeadlineMilliseconds((int) Math.max(0, left))
                .setLatencyObjectiveMilliseconds((int) Math.max(Integer.MIN_VALUE, objective))
                .setSentMicroseconds(now)
                .build();
    }

    private long shortestTransitMicroseconds() {
        return mMinRoundTripNanoseconds == Long.MAX_VALUE
                ? 0
                : TimeUnit.NANOSECONDS.toMicros(mMinRoundTripNanoseconds / 2);
    }

    /** Sends the held requests. A peer that does not greet first does not grant bodies. */
    private void onGreeting(boolean grantsBodies) {
        mGreeted = true;
        mPeerGrantsBodies = grantsBodies;
        for (LongObjectMap.PrimitiveEntry<Stream> entry : mStreams.entries()) {
            Stream stream = entry.value();
            if (stream.mHeld != null) {
                HeldRequest held = stream.mHeld;
                stream.mHeld = null;
                send(entry.key(), stream, held.start(), held.body(), grantsBodies);
            }
        }
    }

    /** Sends a ping when one is due, and closes the link when a receive timeout has expired. */
    void tick() {
        if (mClosed) {
            return;
        }
        long now = mTicker.nanoTime();
        if (silenceNanoseconds() >= RECEIVE_TIMEOUT_NANOSECONDS) {
            onSilence();
        } else if (now - mPingSentNanoseconds >= PING_INTERVAL_NANOSECONDS) {
            sendPing();
        }
    }

    private long silenceNanoseconds() {
        return mTicker.nanoTime() - mFrameReceivedNanoseconds;
    }

    private void onSilence() {
        boolean busy = mStreams.values().stream().anyMatch(stream -> !stream.mIdempotent);
        if (!busy || silenceNanoseconds() >= LONG_RECEIVE_TIMEOUT_NANOSECONDS) {
            mTimedOut = true;
            close();
            return;
        }
        for (long number : List.copyOf(mStreams.keySet())) {
            Stream stream = mStreams.get(number);
            if (stream != null && stream.mIdempotent) {
                cancel(number);
                stream.mListener.onLinkLost(stream.mFullySent);
            }
        }
    }

    /** Sends a ping immediately. */
    void sendPing() {
        mPingSentNanoseconds = mTicker.nanoTime();
        mPingSequence++;
        mPingTimes[(int) (mPingSequence % REMEMBERED_PINGS)] = mPingSentNanoseconds;
        mChannel.writeAndFlush(Frames.ping(mPingSequence));
    }

    /** Sends a message that belongs to no request. */
    void sendMessage(RequestMessage message) {
        mChannel.writeAndFlush(message);
    }

    /** Closes the connection; open streams fail. */
    void close() {
        mChannel.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, RequestMessage message) {
        mFrameReceivedNanoseconds = mTicker.nanoTime();
        mFrameReceived = true;
        if (!mGreeted && !message.hasGoingAway()) {
            onGreeting(message.hasLinkHello() && message.getLinkHello().getGrantsBodies());
        }
        switch (message.getKindCase()) {
            case BODY_GRANT ->
                    mSender.grant(message.getStream(), message.getBodyGrant().getBytes());
            case RESPONSE_START -> onResponseStart(message.getStream(), message.getResponseStart());
            case BODY_CHUNK -> onChunk(message.getStream(), message.getBodyChunk());
            case REFUSAL -> onRefusal(message.getStream(), message.getRefusal());
            case PONG -> onPong(message.getPong());
            case GOING_AWAY -> mListener.onGoingAway(this);
            case CRASH_EXCHANGE -> mListener.onCrashExchange(this, message.getCrashExchange());
            default -> {
                // A hello only shows that the peer is alive; kinds added later are ignored.
            }
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        mSender.sendChunks();
        context.fireChannelWritabilityChanged();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mClosed = true;
        mSender.close();
        List<Stream> openStreams = new ArrayList<>(mStreams.values());
        mStreams.clear();
        openStreams.forEach(Link::failLost);
        mListener.onClosed(this, mTimedOut || !openStreams.isEmpty());
        context.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LinkFailures.log(LOGGER, context.channel(), cause);
        context.close();
    }

    private static void failLost(Stream stream) {
        stream.discardBody();
        stream.mListener.onLinkLost(stream.mFullySent);
    }

    private void cancel(long number) {
        Stream stream = mStreams.remove(number);
        if (stream == null) {
            return;
        }
        mSender.cancel(number);
        stream.discardBody();
        mChannel.writeAndFlush(Frames.cancel(number));
    }

    private void onPong(Pong pong) {
        mListener.onLoad(this, pong.getLoad());
        if (isAwaited(pong.getSequence())) {
            int index = (int) (pong.getSequence() % REMEMBERED_PINGS);
            long roundTrip = mTicker.nanoTime() - mPingTimes[index];
            mMinRoundTripNanoseconds = Math.min(mMinRoundTripNanoseconds, roundTrip);
            mListener.onRoundTrip(this, roundTrip);
        }
    }

    private boolean isAwaited(long sequence) {
        return sequence > Math.max(0, mPingSequence - REMEMBERED_PINGS)
                && sequence <= mPingSequence;
    }

    private void onResponseStart(long number, ResponseStart start) {
        mListener.onLoad(this, start.getLoad());
        Stream stream = mStreams.get(number);
        if (stream == null) {
            return;
        }
        if (stream.mStart != null || !isValid(start)) {
            fail(number, ErrorKind.UPSTREAM_FAILED, MALFORMED_ANSWER);
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
        if (!fits || (chunk.getLast() && !stream.mBody.isComplete())) {
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
                            start.getReplayed(),
                            start.getTargetMicroseconds()));
        }
    }

    private void onRefusal(long number, Refusal refusal) {
        mListener.onLoad(this, refusal.getLoad());
        Stream stream = mStreams.get(number);
        if (stream == null) {
            return;
        }
        if (stream.mStart != null) {
            // The request has run, so that the refusal cannot be true.
            fail(number, ErrorKind.UPSTREAM_FAILED, MALFORMED_ANSWER);
            return;
        }
        mStreams.remove(number);
        mSender.cancel(number);
        stream.discardBody();
        stream.mListener.onOutcome(
                new Outcome.Failure(
                        ErrorKind.of(refusal.getKind()),
                        refusal.getMessage(),
                        refusal.getRetryAfterMilliseconds(),
                        refusal.getCrashCountsList()));
    }

    private void fail(long number, ErrorKind kind, String message) {
        OutcomeListener listener = mStreams.get(number).mListener;
        cancel(number);
        listener.onOutcome(Outcome.Failure.of(kind, message));
    }

    private static boolean isValid(ResponseStart start) {
        return start.getStatus() >= MIN_STATUS
                && start.getStatus() <= MAX_STATUS
                && start.getBodyBytes() >= 0
                && HeaderFields.isEndToEnd(start.getHeadersList());
    }
}
