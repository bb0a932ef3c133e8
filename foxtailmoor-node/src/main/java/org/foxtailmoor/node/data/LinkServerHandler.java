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
import org.foxtailmoor.core.admission.BodyTransfers;
import org.foxtailmoor.core.admission.OutgoingBodies;
import org.foxtailmoor.core.admission.TransitDelay;
import org.foxtailmoor.protocol.generated.BodyChunk;
import org.foxtailmoor.protocol.generated.CrashExchange;
import org.foxtailmoor.protocol.generated.RequestMessage;
import org.foxtailmoor.protocol.generated.RequestStart;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Home node's end of a link: receives requests, submits them to the {@link Home} and sends the
 * answers back. When the link closes, the requests received over it are cancelled.
 */
final class LinkServerHandler extends SimpleChannelInboundHandler<RequestMessage> {
    private static final Logger LOGGER = LoggerFactory.getLogger(LinkServerHandler.class);

    private static final class Stream {
        private final RequestStart mStart;
        private final long mDeadlineNanoseconds;
        private long mTransitNanoseconds;
        private BodyCollector mBody;
        private BodyTransfers.Transfer mTransfer;
        private OutgoingBodies.Reservation mResponse;
        private Cancellable mCancellation = Cancellable.NONE;

        Stream(RequestStart start, long deadlineNanoseconds, BodyCollector body) {
            mStart = start;
            mDeadlineNanoseconds = deadlineNanoseconds;
            mBody = body;
        }

        /**
         * Returns whether a leaving home refuses the request whatever its body. Repeats of known
         * idempotency keys are still answered.
         */
        boolean isRefusedByLeavingHome() {
            return mBody != null
                    && mStart.getBodyBytes() > 0
                    && mStart.getIdempotencyKey().isEmpty();
        }

        /**
         * Returns whether the request is not run because its deadline has passed. The outcome of a
         * known idempotency key is available without the target.
         */
        boolean isExpired(long nowNanoseconds) {
            long left = mDeadlineNanoseconds - nowNanoseconds;
            // A sender with a clock states 0 only if the deadline passed before the write.
            boolean isOver = left < 0 || left == 0 && mStart.getSentMicroseconds() != 0;
            return isOver && mStart.getIdempotencyKey().isEmpty();
        }

        /** Returns whether the body has not arrived completely by the deadline. */
        boolean isBodyOverdue(long nowNanoseconds) {
            return mBody != null && mDeadlineNanoseconds - nowNanoseconds <= 0;
        }

        boolean isIdempotent() {
            return mStart.getIdempotent();
        }

        void endTransfer() {
            if (mTransfer != null) {
                mTransfer.end();
                mTransfer = null;
            }
        }

        void endResponse() {
            if (mResponse != null) {
                mResponse.end();
                mResponse = null;
            }
        }

        void cancel() {
            endTransfer();
            endResponse();
            if (mBody != null) {
                mBody.discard();
                mBody = null;
            }
            mCancellation.cancel();
        }
    }

    private final Channel mChannel;
    private final Home mHome;
    private final BodyMemory mMemory;
    private final Ticker mTicker;
    private final LinkServer mServer;
    private final BodySender mSender;
    private final TransitDelay mTransitDelay;
    private final LongObjectHashMap<Stream> mStreams = new LongObjectHashMap<>();
    private long mFrameReceivedNanoseconds;

    LinkServerHandler(
            Channel channel, Home home, BodyMemory memory, Ticker ticker, LinkServer server) {
        mChannel = channel;
        mHome = home;
        mMemory = memory;
        mTicker = ticker;
        mServer = server;
        mSender = new BodySender(channel, server.outgoing());
        mTransitDelay = TransitDelay.of(ticker);
        mFrameReceivedNanoseconds = ticker.nanoTime();
    }

    /**
     * Frees the memory of bodies whose senders have stopped, and closes the link when a receive
     * timeout has expired; see {@link Link#tick()}.
     */
    void tick() {
        refuseOverdueBodies();
        long silence = mTicker.nanoTime() - mFrameReceivedNanoseconds;
        if (silence < Link.RECEIVE_TIMEOUT_NANOSECONDS) {
            return;
        }
        boolean busy = mStreams.values().stream().anyMatch(stream -> !stream.isIdempotent());
        if (!busy || silence >= Link.LONG_RECEIVE_TIMEOUT_NANOSECONDS) {
            mChannel.close();
            return;
        }
        for (long number : List.copyOf(mStreams.keySet())) {
            if (mStreams.get(number).isIdempotent()) {
                onCancel(number);
            }
        }
    }

    private void refuseOverdueBodies() {
        long now = mTicker.nanoTime();
        for (long number : List.copyOf(mStreams.keySet())) {
            Stream stream = mStreams.get(number);
            if (stream.isBodyOverdue(now)) {
                mStreams.remove(number);
                stream.cancel();
                refuse(
                        number,
                        ErrorKind.DEADLINE_BEFORE_RUN,
                        "the body did not arrive before the deadline");
            }
        }
    }

    /** Closes the link immediately. */
    void close() {
        mChannel.close();
    }

    /** Sends the load of the target without a ping of the peer. */
    void sendLoad() {
        mChannel.writeAndFlush(Frames.pong(Frames.UNSOLICITED_PONG, mServer.load()));
    }

    /**
     * Notifies the peer that this upstream is leaving. Requests whose bodies are incomplete are
     * refused at once, because the home would refuse them after the transfer.
     */
    void sendGoingAway() {
        mChannel.writeAndFlush(Frames.goingAway());
        refuseIncompleteRequests();
    }

    /** Refuses the requests that are still arriving and would be refused when they are complete. */
    void refuseIncompleteRequests() {
        for (long number : List.copyOf(mStreams.keySet())) {
            Stream stream = mStreams.get(number);
            if (stream.isRefusedByLeavingHome()) {
                refuseLeaving(number, stream);
            }
        }
    }

    /** Returns whether no request is open and every answer has been written to the socket. */
    boolean isIdle() {
        return mStreams.isEmpty();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        mServer.onOpened(this);
        if (mHome.isLeaving()) {
            sendGoingAway();
        }
        context.fireChannelActive();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, RequestMessage message) {
        mFrameReceivedNanoseconds = mTicker.nanoTime();
        long number = message.getStream();
        switch (message.getKindCase()) {
            case REQUEST_START -> onRequestStart(number, message.getRequestStart());
            case BODY_CHUNK -> onChunk(number, message.getBodyChunk());
            case CANCEL -> onCancel(number);
            case PING ->
                    mChannel.writeAndFlush(
                            Frames.pong(message.getPing().getSequence(), mServer.load()));
            case LINK_HELLO ->
                    mChannel.writeAndFlush(
                            Frames.hello(
                                    mServer.instanceId(),
                                    mServer.incarnation(),
                                    mServer.transfers().isLimited()));
            case CRASH_EXCHANGE -> onCrashExchange(message.getCrashExchange());
            default -> {
                // A pong only shows that the peer is alive; the other kinds are sent by home nodes.
            }
        }
        if (mChannel.bytesBeforeWritable() > Link.MAX_UNSENT_BYTES) {
            // A peer that sends requests but does not read would fill the memory with refusals and
            // starts of answers. If it does not read at all, the receive timeout closes the link.
            mChannel.config().setAutoRead(false);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (mChannel.isWritable()) {
            mChannel.config().setAutoRead(true);
        }
        mSender.sendChunks();
        context.fireChannelWritabilityChanged();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mSender.close();
        ArrayList<Stream> openStreams = new ArrayList<>(mStreams.values());
        mStreams.clear();
        openStreams.forEach(Stream::cancel);
        mServer.onClosed(this);
        context.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LinkFailures.log(LOGGER, context.channel(), cause);
        context.close();
    }

    private void onCrashExchange(CrashExchange message) {
        CrashExchange reply = mServer.onCrashExchange(message);
        if (reply != null) {
            mChannel.writeAndFlush(Frames.crashExchange(reply));
        }
    }

    private void onRequestStart(long number, RequestStart start) {
        if (number == Frames.LINK_STREAM || mStreams.containsKey(number)) {
            mChannel.close();
            return;
        }
        if (mStreams.size() >= Link.MAX_OPEN_STREAMS) {
            refuse(number, ErrorKind.OVERLOADED, "too many requests on one link");
            return;
        }
        long now = mTicker.nanoTime();
        long transit = mTransitDelay.onArrival(start.getSentMicroseconds());
        long deadline = deadlineNanoseconds(start, now, transit);
        if (new Stream(start, deadline, null).isExpired(now)) {
            refuseExpired(number, start, transit);
            return;
        }
        int bytes = start.getBodyBytes();
        BodyCollector body =
                bytes < 0 ? null : BodyCollector.of(mMemory, mChannel.alloc(), bytes, bytes);
        if (body == null) {
            refuse(number, ErrorKind.OVERLOADED, "the home node's body memory is full");
            return;
        }
        Stream stream = new Stream(start, deadline, body);
        if (!reserveResponse(stream)) {
            stream.cancel();
            long wait = mServer.outgoing().expectedNanoseconds(0);
            refuse(
                    number,
                    new Outcome.Failure(
                            ErrorKind.OVERLOADED,
                            "the home node's link is busy with other responses",
                            (int) TimeUnit.NANOSECONDS.toMillis(wait)));
            return;
        }
        stream.mTransitNanoseconds = transit;
        mStreams.put(number, stream);
        boolean leaving = mHome.isLeaving() || mHome.isTargetLeaving();
        if (leaving && stream.isRefusedByLeavingHome()) {
            refuseLeaving(number, stream);
        } else if (start.getBodyOnGrant()) {
            grantBody(number, stream, bytes);
        }
    }

    /**
     * Reserves the outgoing link for the expected response, or returns false if a long response
     * would be sent after the latency objective, or after the deadline if the objective has passed.
     */
    private boolean reserveResponse(Stream stream) {
        OutgoingBodies outgoing = mServer.outgoing();
        if (!outgoing.isLimited()) {
            return true;
        }
        RequestStart start = stream.mStart;
        long bytes = mServer.responseSizes().meanBytes(start.getRouteId());
        int objective = start.getLatencyObjectiveMilliseconds();
        long limit = objective > 0 ? objective : start.getDeadlineMilliseconds();
        boolean late = outgoing.expectedNanoseconds(bytes) > TimeUnit.MILLISECONDS.toNanos(limit);
        if (late && bytes > OutgoingBodies.SHORT_BODY_BYTES) {
            return false;
        }
        stream.mResponse = outgoing.reserve(bytes);
        return true;
    }

    private static long deadlineNanoseconds(
            RequestStart start, long nowNanoseconds, long transitNanoseconds) {
        long left = Integer.toUnsignedLong(start.getDeadlineMilliseconds());
        return nowNanoseconds + TimeUnit.MILLISECONDS.toNanos(left) - transitNanoseconds;
    }

    /** Lets the sender send the body in its turn, or refuses it if it would be too late then. */
    private void grantBody(long number, Stream stream, int bytes) {
        long arrival = mTicker.nanoTime() + mServer.transfers().expectedNanoseconds(bytes);
        if (arrival - stream.mDeadlineNanoseconds > 0) {
            mStreams.remove(number);
            stream.cancel();
            refuse(number, ErrorKind.OVERLOADED, "the home node's link is busy with other bodies");
            return;
        }
        stream.mTransfer =
                mServer.transfers()
                        .start(
                                bytes,
                                granted ->
                                        mChannel.writeAndFlush(Frames.bodyGrant(number, granted)));
    }

    private void onChunk(long number, BodyChunk chunk) {
        Stream stream = mStreams.get(number);
        if (stream == null || stream.mBody == null) {
            return;
        }
        if (stream.mTransfer != null) {
            stream.mTransfer.received(chunk.getContent().size());
        }
        boolean fits = stream.mBody.append(chunk.getContent());
        if (!fits || (chunk.getLast() && !stream.mBody.isComplete())) {
            mStreams.remove(number);
            stream.cancel();
            refuse(number, ErrorKind.BAD_REQUEST, "the request has not its announced length");
            return;
        }
        if (chunk.getLast()) {
            submit(number, stream);
        }
    }

    private void submit(long number, Stream stream) {
        if (stream.isExpired(mTicker.nanoTime())) {
            mStreams.remove(number);
            stream.cancel();
            refuseExpired(number, stream.mStart, stream.mTransitNanoseconds);
            return;
        }
        stream.endTransfer();
        BufferedBody body = stream.mBody.finish();
        stream.mBody = null;
        HomeCall request = new HomeCall(stream.mStart, body, stream.mDeadlineNanoseconds);
        stream.mCancellation = mHome.submit(request, outcome -> onOutcome(number, outcome));
    }

    private void onOutcome(long number, Outcome outcome) {
        Stream stream = mStreams.get(number);
        if (stream == null) {
            outcome.release();
            return;
        }
        if (outcome instanceof Outcome.Answer answer) {
            mServer.responseSizes().record(stream.mStart.getRouteId(), answer.body().length());
            if (stream.mResponse != null) {
                stream.mResponse.resize(answer.body().length());
            }
            mSender.send(
                    Frames.responseStart(number, answer, mServer.load()),
                    answer.body(),
                    // The stream stays open until the operating system has accepted the complete
                    // answer.
                    written -> {
                        stream.endResponse();
                        written.addListener(future -> mStreams.remove(number));
                    });
            return;
        }
        stream.endResponse();
        mStreams.remove(number);
        refuse(number, (Outcome.Failure) outcome);
    }

    private void onCancel(long number) {
        Stream stream = mStreams.remove(number);
        if (stream != null) {
            mSender.cancel(number);
            stream.cancel();
        }
    }

    private void refuseLeaving(long number, Stream stream) {
        mStreams.remove(number);
        stream.cancel();
        refuse(number, ErrorKind.LEAVING, ErrorMessages.of(ErrorKind.LEAVING));
    }

    private void refuseExpired(long number, RequestStart start, long transitNanoseconds) {
        mHome.onExpiredInTransit(start, transitNanoseconds);
        refuse(
                number,
                ErrorKind.DEADLINE_BEFORE_RUN,
                ErrorMessages.of(ErrorKind.DEADLINE_BEFORE_RUN));
    }

    private void refuse(long number, ErrorKind kind, String message) {
        refuse(number, Outcome.Failure.of(kind, message));
    }

    private void refuse(long number, Outcome.Failure failure) {
        mChannel.writeAndFlush(Frames.refusal(number, failure, mServer.load()));
    }
}
