package org.foxtailmoor.node.data;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
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
 * One connection of a caller: collects a request, hands it to the entry and writes the outcome.
 * Requests that arrive while one is open wait for it, so that answers come in the order of the
 * requests. A caller that closes the connection cancels its open request.
 */
final class CallerConnection extends SimpleChannelInboundHandler<HttpObject> {
    private enum State {
        /** A new request may arrive. */
        HEAD,
        /** The body of the request is arriving. */
        BODY,
        /** The request is open. */
        RUNNING,
        /** The request is refused; the rest of its small body is skipped first. */
        SKIPPING,
        /** The last answer is written; what still arrives is ignored. */
        CLOSING
    }

    /** A refused body up to this size is read, so that the connection can be used further. */
    private static final int MAXIMUM_SKIPPED_BYTES = 65_536;

    private static final long CLOSE_TIMEOUT_MILLISECONDS = 1_000;

    /** Time to state when the entry refuses: about what a cold process needs to catch up. */
    private static final int ENTRY_RETRY_MILLISECONDS = 500;

    private static final long IDLE_NANOSECONDS = TimeUnit.SECONDS.toNanos(75);
    private static final long UNUSED_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);

    private final CallerServer mServer;
    private final EntryGateway mEntry;
    private final BodyMemory mMemory;
    private final ArrayDeque<HttpObject> mPending = new ArrayDeque<>();
    private Channel mChannel;
    private State mState = State.HEAD;
    private boolean mKeepAlive;
    private boolean mHeadRequest;
    private EntryCall mCall;
    private BodyCollector mBody;
    private Outcome.Failure mRefusal;
    private long mIdleSinceNanoseconds;
    private boolean mProcessing;
    private int mWriting;

    CallerConnection(CallerServer server, EntryGateway entry, BodyMemory memory) {
        mServer = server;
        mEntry = entry;
        mMemory = memory;
        mIdleSinceNanoseconds = entry.parts().ticker().nanoTime();
    }

    /** Returns whether no request has begun to arrive or is open. */
    boolean isIdle() {
        return mState == State.HEAD && mPending.isEmpty() && mWriting == 0;
    }

    /** Closes the connection if it has not completed a request for a long time. */
    void tick() {
        if (idleNanoseconds() < IDLE_NANOSECONDS || mState == State.RUNNING) {
            return;
        }
        if (mWriting > 0) {
            // The caller does not read its answer.
            mChannel.close();
        } else {
            closeIfUnused();
        }
    }

    /** Closes the connection at once. */
    void close() {
        mChannel.close();
    }

    /**
     * Ends the connection if it has been without a request for a second. A connection in recent use
     * may have a request on its way, whose answer will end the connection.
     */
    void closeIfUnused() {
        if (isIdle() && idleNanoseconds() >= UNUSED_NANOSECONDS) {
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
        mState = State.CLOSING;
        abandon();
        mPending.forEach(ReferenceCountUtil::release);
        mPending.clear();
        mServer.onClosed(this);
        context.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (mState == State.RUNNING || !mPending.isEmpty()) {
            mPending.addLast(ReferenceCountUtil.retain(message));
            // Later requests do not count against the body memory, so that no more of them is read.
            mChannel.config().setAutoRead(false);
            return;
        }
        process(message);
        processPending();
    }

    private void processPending() {
        if (mProcessing) {
            return;
        }
        mProcessing = true;
        while (mState != State.RUNNING && !mPending.isEmpty()) {
            HttpObject message = mPending.removeFirst();
            process(message);
            ReferenceCountUtil.release(message);
        }
        mProcessing = false;
        if (mPending.isEmpty() && mChannel.isActive()) {
            mChannel.config().setAutoRead(true);
        }
    }

    private void process(HttpObject message) {
        switch (mState) {
            case HEAD -> {
                if (message instanceof HttpRequest request) {
                    onHead(request);
                }
            }
            case BODY -> onBody((HttpContent) message);
            case SKIPPING -> {
                if (message instanceof LastHttpContent) {
                    respond(mRefusal);
                }
            }
            default -> {
                // Nothing that arrives while the connection closes is answered.
            }
        }
    }

    private void onHead(HttpRequest request) {
        mKeepAlive = HttpUtil.isKeepAlive(request);
        mHeadRequest = HttpMethod.HEAD.equals(request.method());
        EntryHead head = CallerMessages.headOf(request, mEntry.parts().headers());
        if (head == null) {
            mKeepAlive = false;
            respond(failure(ErrorKind.BAD_REQUEST));
            return;
        }
        boolean chunked = HttpUtil.isTransferEncodingChunked(request);
        long announced = chunked ? 0 : HttpUtil.getContentLength(request, 0L);
        Decision<EntryCall> begun = mEntry.begin(head, announced, this::onOutcome);
        if (begun.isRefused()) {
            refuse(request, refusalOf(begun.refusal()));
            return;
        }
        mCall = begun.value();
        int length = chunked ? BodyCollector.UNKNOWN_LENGTH : (int) announced;
        mBody =
                BodyCollector.of(
                        mMemory,
                        mChannel.alloc(),
                        length,
                        Math.max(length, mCall.bodyLimitBytes()));
        if (mBody == null) {
            endCall(ErrorKind.OVERLOADED);
            refuse(request, failure(ErrorKind.OVERLOADED));
            return;
        }
        mState = State.BODY;
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
            HeldBody body = mBody.finish();
            mBody = null;
            mState = State.RUNNING;
            mCall.run(body);
        }
    }

    private void refuse(HttpRequest request, Outcome.Failure failure) {
        boolean small =
                !HttpUtil.is100ContinueExpected(request)
                        && !HttpUtil.isTransferEncodingChunked(request)
                        && HttpUtil.getContentLength(request, 0L) <= MAXIMUM_SKIPPED_BYTES;
        if (small) {
            mState = State.SKIPPING;
            mRefusal = failure;
            return;
        }
        mKeepAlive = false;
        respond(failure);
    }

    private void refuseBody(ErrorKind kind) {
        mBody.discard();
        mBody = null;
        endCall(kind);
        mKeepAlive = false;
        respond(failure(kind));
    }

    private void onOutcome(Outcome outcome) {
        mCall = null;
        if (mState == State.BODY) {
            // The deadline passed while the body was arriving.
            abandon();
            mKeepAlive = false;
        }
        if (mState == State.CLOSING) {
            outcome.release();
            return;
        }
        respond(outcome);
        processPending();
    }

    private void respond(Outcome outcome) {
        boolean close = !mKeepAlive || mServer.isLeaving();
        FullHttpResponse response =
                CallerMessages.responseOf(outcome, mHeadRequest, mEntry.parts().headers());
        response.headers().set(HttpHeaderNames.CONNECTION, close ? "close" : "keep-alive");
        mState = close ? State.CLOSING : State.HEAD;
        mWriting++;
        mChannel.writeAndFlush(response).addListener(future -> onWritten(outcome, close));
    }

    private void onWritten(Outcome outcome, boolean close) {
        outcome.release();
        mWriting--;
        mIdleSinceNanoseconds = mEntry.parts().ticker().nanoTime();
        if (close) {
            shutdownOutput();
        }
    }

    /** Ends the sending direction; closing at once could discard an answer in transit. */
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

    private void abandon() {
        if (mBody != null) {
            mBody.discard();
            mBody = null;
        }
        if (mCall != null) {
            mCall.cancel();
            mCall = null;
        }
    }

    private void endCall(ErrorKind kind) {
        mCall.refuse(kind);
        mCall = null;
    }

    private long idleNanoseconds() {
        return mEntry.parts().ticker().nanoTime() - mIdleSinceNanoseconds;
    }

    /** A node that is not ready or behind its load needs a moment, and less if callers wait. */
    private static Outcome.Failure refusalOf(ErrorKind kind) {
        return new Outcome.Failure(kind, ErrorMessages.of(kind), ENTRY_RETRY_MILLISECONDS);
    }

    private static Outcome.Failure failure(ErrorKind kind) {
        return Outcome.Failure.of(kind, ErrorMessages.of(kind));
    }
}
