package org.foxtailmoor.node.data;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.core.admission.BodyMemory;
import org.foxtailmoor.core.routing.Decision;

/**
 * Handles one connection of a caller: reads a request, passes it to the {@link EntryGateway} and
 * writes the outcome. Pipelined requests are processed one at a time, so that answers are sent in
 * request order; the next one is processed when the answer before it has been written, so that a
 * caller that does not read holds no more than one answer. If the caller closes the connection, its
 * open request is cancelled.
 */
final class CallerConnection extends SimpleChannelInboundHandler<HttpObject> {
    private enum State {
        /** Waiting for the head of the next request. */
        AWAITING_HEAD,
        /** Reading the body of the request. */
        READING_BODY,
        /** The request has been submitted and has no outcome yet. */
        RUNNING,
        /** The request is refused; its body is read and discarded before the answer is written. */
        SKIPPING_BODY,
        /** The last answer has been written; further input is ignored. */
        CLOSING
    }

    /** Largest body of a refused request that is read and discarded to keep the connection open. */
    private static final int MAX_SKIPPED_BODY_BYTES = 65_536;

    static final long CLOSE_TIMEOUT_MILLISECONDS = 1_000;

    /**
     * Retry-After of a request that the entry refuses; about the time that a node with cold code
     * needs to catch up.
     */
    private static final int ENTRY_RETRY_AFTER_MILLISECONDS = 500;

    private static final long IDLE_TIMEOUT_NANOSECONDS = TimeUnit.SECONDS.toNanos(75);
    static final long DRAIN_IDLE_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);

    /**
     * A caller that takes no byte of an answer for this long is given up. The operating system
     * accepts more bytes only after the caller has taken about 64 KiB of what is in the buffers
     * (see {@link CallerServer#SEND_BUFFER_BYTES}), so that callers are served down to about 7
     * KB/s.
     */
    static final long NOT_READING_TIMEOUT_NANOSECONDS = TimeUnit.SECONDS.toNanos(10);

    /** Memory charged for a pipelined request without a body; about that of its decoded objects. */
    private static final int PIPELINED_HEAD_BYTES = 1_024;

    private final CallerServer mServer;
    private final EntryGateway mEntry;
    private final BodyMemory mMemory;
    private final BodyMemory mPipelineMemory;
    private final ArrayDeque<HttpObject> mPipelinedMessages = new ArrayDeque<>();
    private Channel mChannel;
    private State mState = State.AWAITING_HEAD;
    private boolean mKeepAlive;
    private boolean mHeadRequest;
    private EntryCall mCall;
    private BodyCollector mBody;
    private Outcome.Failure mRefusal;
    private long mIdleSinceNanoseconds;
    private boolean mProcessing;
    private int mPendingWrites;
    private long mUnsentBytes;
    private long mProgressNanoseconds;
    private boolean mPipelineRefused;
    private String mRequestId = "";
    private String mCloseReason;

    /**
     * Creates the handler of an accepted connection.
     *
     * @param memory memory for bodies
     * @param pipelineMemory memory for requests that are read before their turn
     */
    CallerConnection(
            CallerServer server, EntryGateway entry, BodyMemory memory, BodyMemory pipelineMemory) {
        mServer = server;
        mEntry = entry;
        mMemory = memory;
        mPipelineMemory = pipelineMemory;
        mIdleSinceNanoseconds = entry.dependencies().ticker().nanoTime();
    }

    /** Returns whether the connection has no request in progress and no answer to write. */
    boolean isIdle() {
        return mState == State.AWAITING_HEAD && mPipelinedMessages.isEmpty() && mPendingWrites == 0;
    }

    /** Closes the connection when it has been idle for too long or its answer is not read. */
    void tick() {
        if (mPendingWrites > 0) {
            closeIfNotReading();
        } else if (idleNanoseconds() >= IDLE_TIMEOUT_NANOSECONDS) {
            closeIfIdle();
        }
    }

    private void closeIfNotReading() {
        long now = mEntry.dependencies().ticker().nanoTime();
        long unsent = unsentBytes();
        if (unsent < mUnsentBytes) {
            mUnsentBytes = unsent;
            mProgressNanoseconds = now;
        } else if (now - mProgressNanoseconds >= NOT_READING_TIMEOUT_NANOSECONDS) {
            mEntry.dependencies().metrics().callerClosedNotReading().inc();
            // With a reset, the operating system frees what it has buffered for the caller, too.
            mChannel.config().setOption(ChannelOption.SO_LINGER, 0);
            close("the caller did not read its answer, " + unsent + " bytes were left");
        }
    }

    /** Returns the number of bytes that the operating system has not accepted yet. */
    private long unsentBytes() {
        ChannelOutboundBuffer buffer = mChannel.unsafe().outboundBuffer();
        return buffer == null ? 0 : buffer.totalPendingWriteBytes() - buffer.currentProgress();
    }

    /**
     * Closes the connection immediately.
     *
     * @param reason reason to log if a request is left without an answer
     */
    void close(String reason) {
        mCloseReason = reason;
        mChannel.close();
    }

    /**
     * Answers the open request with an error and closes the connection.
     *
     * @param reason reason to log if a request is left without an answer
     */
    void endRequest(String reason) {
        if (mCall != null) {
            mCall.endByShutdown();
        } else if (mState == State.SKIPPING_BODY) {
            respond(mRefusal);
        }
        // An answer that has been written is followed by a half-close; a full close could discard
        // it in transit.
        if (mState != State.CLOSING || mPendingWrites > 0) {
            close(reason);
        }
    }

    /**
     * Closes the connection if it has been idle for {@link #DRAIN_IDLE_NANOSECONDS}. A connection
     * used more recently may have a request in transit; the answer to that request closes it.
     */
    void closeIfIdle() {
        if (isIdle() && idleNanoseconds() >= DRAIN_IDLE_NANOSECONDS) {
            shutdownOutput();
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        mChannel = context.channel();
        mServer.onOpened(this);
        context.fireChannelActive();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (mCloseReason != null && (mCall != null || mState == State.SKIPPING_BODY)) {
            recordUnanswered(mRequestId, mCloseReason);
        }
        mState = State.CLOSING;
        cancelRequest();
        // A pipelined request was read, so that its caller cannot know that it has not run.
        for (HttpObject message : mPipelinedMessages) {
            mPipelineMemory.release(chargedBytes(message));
            recordIfIgnoredRequest(message);
            ReferenceCountUtil.release(message);
        }
        mPipelinedMessages.clear();
        mServer.onClosed(this);
        context.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        close("connection error: " + cause);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (mustHoldInput() || !mPipelinedMessages.isEmpty()) {
            hold(message);
            return;
        }
        process(message);
        processPipelined();
    }

    private boolean mustHoldInput() {
        return mState == State.RUNNING || mState == State.AWAITING_HEAD && mPendingWrites > 0;
    }

    /**
     * Keeps a pipelined message until the answer before it has been written. What has been read
     * already, at most one read buffer, is charged to the memory for it; if that is full, the
     * connection is closed after the current answer.
     */
    private void hold(HttpObject message) {
        mChannel.config().setAutoRead(false);
        if (mPipelineRefused || !mPipelineMemory.tryReserve(chargedBytes(message))) {
            mPipelineRefused = true;
            recordIfIgnoredRequest(message);
            return;
        }
        mPipelinedMessages.addLast(ReferenceCountUtil.retain(message));
    }

    private static long chargedBytes(HttpObject message) {
        if (message instanceof HttpContent content) {
            return content.content().readableBytes();
        }
        return PIPELINED_HEAD_BYTES;
    }

    private void processPipelined() {
        if (mProcessing) {
            return;
        }
        mProcessing = true;
        // Nothing is started for a connection that is closed because an answer was not read.
        while (mChannel.isActive() && !mustHoldInput() && !mPipelinedMessages.isEmpty()) {
            HttpObject message = mPipelinedMessages.removeFirst();
            mPipelineMemory.release(chargedBytes(message));
            process(message);
            ReferenceCountUtil.release(message);
        }
        mProcessing = false;
        if (mPipelinedMessages.isEmpty() && mChannel.isActive()) {
            mChannel.config().setAutoRead(true);
        }
    }

    private void process(HttpObject message) {
        switch (mState) {
            case AWAITING_HEAD -> {
                if (message instanceof HttpRequest request) {
                    onHead(request);
                }
            }
            case READING_BODY -> onBody((HttpContent) message);
            case SKIPPING_BODY -> {
                if (message instanceof LastHttpContent) {
                    respond(mRefusal);
                }
            }
            default -> {
                // Input that arrives while the connection is closing is not answered.
                recordIfIgnoredRequest(message);
            }
        }
    }

    private void onHead(HttpRequest request) {
        mKeepAlive = HttpUtil.isKeepAlive(request);
        mHeadRequest = HttpMethod.HEAD.equals(request.method());
        mRequestId = requestId(request);
        EntryHead head = CallerMessages.parseHead(request, mEntry.dependencies().headers());
        if (head == null) {
            mKeepAlive = false;
            respond(newFailure(ErrorKind.BAD_REQUEST));
            return;
        }
        boolean chunked = HttpUtil.isTransferEncodingChunked(request);
        long contentLength = chunked ? 0 : HttpUtil.getContentLength(request, 0L);
        Decision<EntryCall> decision = mEntry.begin(head, contentLength, this::onOutcome);
        if (decision.isRefused()) {
            refuse(request, newEntryRefusal(decision.refusal()));
            return;
        }
        mCall = decision.value();
        int length = chunked ? BodyCollector.UNKNOWN_LENGTH : (int) contentLength;
        mBody =
                BodyCollector.of(
                        mMemory,
                        mChannel.alloc(),
                        length,
                        Math.max(length, mCall.bodyLimitBytes()));
        if (mBody == null) {
            refuseCall(ErrorKind.OVERLOADED);
            refuse(request, newFailure(ErrorKind.OVERLOADED));
            return;
        }
        mState = State.READING_BODY;
        if (HttpUtil.is100ContinueExpected(request)) {
            mChannel.writeAndFlush(
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void onBody(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            refuseBody(ErrorKind.BAD_REQUEST);
            return;
        }
        int length = mBody.length() + content.content().readableBytes();
        if (!mBody.append(content.content())) {
            boolean tooLarge = length > mCall.bodyLimitBytes();
            refuseBody(tooLarge ? ErrorKind.BODY_TOO_LARGE : ErrorKind.OVERLOADED);
            return;
        }
        if (content instanceof LastHttpContent) {
            BufferedBody body = mBody.finish();
            mBody = null;
            mState = State.RUNNING;
            mCall.run(body);
        }
    }

    private void refuse(HttpRequest request, Outcome.Failure failure) {
        boolean small =
                !HttpUtil.is100ContinueExpected(request)
                        && !HttpUtil.isTransferEncodingChunked(request)
                        && HttpUtil.getContentLength(request, 0L) <= MAX_SKIPPED_BODY_BYTES;
        if (small) {
            mState = State.SKIPPING_BODY;
            mRefusal = failure;
            return;
        }
        mKeepAlive = false;
        respond(failure);
    }

    private void refuseBody(ErrorKind kind) {
        mBody.discard();
        mBody = null;
        refuseCall(kind);
        mKeepAlive = false;
        respond(newFailure(kind));
    }

    private void onOutcome(Outcome outcome) {
        mCall = null;
        if (mState == State.READING_BODY) {
            // The deadline expired while the body was being read.
            cancelRequest();
            mKeepAlive = false;
        }
        if (mState == State.CLOSING) {
            outcome.release();
            return;
        }
        respond(outcome);
        processPipelined();
    }

    private void respond(Outcome outcome) {
        boolean close = !mKeepAlive || mPipelineRefused || mServer.isLeaving();
        FullHttpResponse response =
                CallerMessages.newResponse(outcome, mHeadRequest, mEntry.dependencies().headers());
        response.headers().set(HttpHeaderNames.CONNECTION, close ? "close" : "keep-alive");
        mState = close ? State.CLOSING : State.AWAITING_HEAD;
        mPendingWrites++;
        mUnsentBytes = Long.MAX_VALUE;
        mProgressNanoseconds = mEntry.dependencies().ticker().nanoTime();
        String requestId = mRequestId;
        mChannel.writeAndFlush(response)
                .addListener(
                        future -> {
                            if (!future.isSuccess()) {
                                recordUnwritten(requestId, future.cause());
                            }
                            onWritten(outcome, close);
                        });
    }

    private void onWritten(Outcome outcome, boolean close) {
        outcome.release();
        mPendingWrites--;
        mIdleSinceNanoseconds = mEntry.dependencies().ticker().nanoTime();
        if (close || mPipelineRefused) {
            shutdownOutput();
        }
        processPipelined();
    }

    /** Half-closes the connection; a full close could discard an answer in transit. */
    private void shutdownOutput() {
        mState = State.CLOSING;
        mChannel.config().setAutoRead(true);
        if (mChannel instanceof DuplexChannel duplex) {
            duplex.shutdownOutput();
            mChannel.eventLoop()
                    .schedule(
                            () -> mChannel.close(),
                            CLOSE_TIMEOUT_MILLISECONDS,
                            TimeUnit.MILLISECONDS);
        } else {
            mChannel.close();
        }
    }

    private void cancelRequest() {
        if (mBody != null) {
            mBody.discard();
            mBody = null;
        }
        if (mCall != null) {
            mCall.cancel();
            mCall = null;
        }
    }

    private void recordIfIgnoredRequest(HttpObject message) {
        if (message instanceof HttpRequest request) {
            recordUnanswered(
                    requestId(request),
                    mCloseReason == null
                            ? "the request arrived after the last answer of the connection"
                            : mCloseReason);
        }
    }

    private void recordUnwritten(String requestId, Throwable cause) {
        recordUnanswered(
                requestId,
                mCloseReason == null ? "the answer was not written: " + cause : mCloseReason);
    }

    private void recordUnanswered(String requestId, String reason) {
        mEntry.dependencies().metrics().callerClosedUnanswered().inc();
        mEntry.dependencies().log().closedUnanswered(requestId, reason);
    }

    private String requestId(HttpRequest request) {
        return request.headers().get(mEntry.dependencies().headers().requestId(), "");
    }

    private void refuseCall(ErrorKind kind) {
        mCall.refuse(kind);
        mCall = null;
    }

    private long idleNanoseconds() {
        return mEntry.dependencies().ticker().nanoTime() - mIdleSinceNanoseconds;
    }

    /**
     * Refuses with a retry delay: a node that is not ready or overloaded recovers sooner if callers
     * wait.
     */
    private static Outcome.Failure newEntryRefusal(ErrorKind kind) {
        // Another node can take the request of a node that leaves at once.
        int retryAfter = kind == ErrorKind.LEAVING ? 0 : ENTRY_RETRY_AFTER_MILLISECONDS;
        return new Outcome.Failure(kind, ErrorMessages.of(kind), retryAfter);
    }

    private static Outcome.Failure newFailure(ErrorKind kind) {
        return Outcome.Failure.of(kind, ErrorMessages.of(kind));
    }
}
