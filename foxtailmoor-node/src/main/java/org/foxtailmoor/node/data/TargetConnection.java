package org.foxtailmoor.node.data;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Ticker;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.core.admission.BodyMemory;
import org.foxtailmoor.http.InvalidResponseException;
import org.foxtailmoor.protocol.generated.Header;

/** One HTTP/1.1 connection to the target, which carries one request at a time. */
final class TargetConnection extends SimpleChannelInboundHandler<HttpObject> {
    private static final int STATUS_NO_CONTENT = 204;
    private static final int STATUS_NOT_MODIFIED = 304;
    private static final int STATUS_MISDIRECTED = 421;

    /**
     * Maximum number of bytes beside the body of an answer: heads, chunk sizes, trailers, interim
     * answers and answers to other requests.
     */
    private static final long MAX_BYTES_BESIDE_BODY = 4L << 20;

    /** A target that reads through a buffer has read a body of this size together with its head. */
    private static final int MAX_BODY_READ_WITH_HEAD_BYTES = 8_192;

    /**
     * Part of the memory for answers that one answer may use. A target that sends a body without
     * end takes no more than this from the answers to other requests.
     */
    private static final double MAX_ANSWER_RATIO = 1.0 / 3;

    /** Receives changes of the connection state. */
    interface Pool {
        /** Called when an answer is complete and the connection can be reused. */
        void onIdle(TargetConnection connection);

        /** Called once, when the connection has closed. */
        void onClosed(TargetConnection connection);
    }

    private final Channel mChannel;
    private final TargetResponseDecoder mDecoder;
    private final BodyMemory mMemory;
    private final Ticker mTicker;
    private final HeaderNames mHeaderNames;
    private final Pool mPool;
    private TargetRequest mRequest;
    private TargetListener mListener;
    private ChannelFuture mWriteFuture;
    private HttpResponse mResponse;
    private List<Header> mHeaders;
    private BodyCollector mBody;
    private String mRequestId;
    private boolean mInterimResponse;
    private boolean mSkippingResponse;
    private boolean mDesynchronized;
    private boolean mNotExecuted;
    private boolean mUsed;
    private long mIdleSinceNanoseconds;

    TargetConnection(
            Channel channel,
            TargetResponseDecoder decoder,
            BodyMemory memory,
            Ticker ticker,
            HeaderNames headerNames,
            Pool pool) {
        mChannel = channel;
        mDecoder = decoder;
        mHeaderNames = headerNames;
        mMemory = memory;
        mTicker = ticker;
        mPool = pool;
        mIdleSinceNanoseconds = ticker.nanoTime();
    }

    /** Returns the idle time in nanoseconds. */
    long idleNanoseconds() {
        return mTicker.nanoTime() - mIdleSinceNanoseconds;
    }

    /** Returns whether the connection has completed a request. */
    boolean isUsed() {
        return mUsed;
    }

    boolean isOpen() {
        return mChannel.isActive();
    }

    /** Sends a request whose outcome is passed to the listener. */
    void send(TargetRequest request, TargetListener listener) {
        mRequest = request;
        mListener = listener;
        mResponse = null;
        mInterimResponse = false;
        mNotExecuted = false;
        mRequestId = HeaderFields.find(request.headers(), mHeaderNames.requestId());
        mDecoder.expectAnswer(
                isHeadRequest(), request.body().length() > MAX_BODY_READ_WITH_HEAD_BYTES);
        mWriteFuture = mChannel.writeAndFlush(encode(request));
    }

    /** Returns whether a response head, interim or final, has arrived for the current request. */
    boolean hasResponse() {
        return mResponse != null || mInterimResponse;
    }

    /** Closes the connection without an outcome for the request in flight. */
    void abort() {
        mListener = null;
        mDecoder.endAnswer();
        discardBody();
        mChannel.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (mListener == null) {
            // Data without a request in flight belongs to no request.
            mChannel.close();
            return;
        }
        if (message.decoderResult().isFailure()) {
            fail("the target's answer is not valid HTTP" + reason(message), false);
            return;
        }
        if (message instanceof HttpResponse response) {
            mSkippingResponse = answersOtherRequest(response);
            mDesynchronized |= mSkippingResponse;
            if (!mSkippingResponse && !onHead(response)) {
                return;
            }
        }
        if (message instanceof HttpContent content && !mSkippingResponse) {
            onContent(content);
        }
    }

    /** Fails the request in flight if the target sends too many bytes that are not its answer. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        int bodyBytes = mBody == null ? 0 : mBody.length();
        if (mListener != null && mDecoder.decodedBytes() - bodyBytes > MAX_BYTES_BESIDE_BODY) {
            fail("the target sends bytes without end that are not its answer", false);
        }
        context.fireChannelReadComplete();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (mListener != null) {
            fail("the target ended the connection before its answer was complete", true);
        }
        mPool.onClosed(this);
        context.fireChannelInactive();
    }

    /** Fails the request in flight: an answer interrupted by a connection reset is not complete. */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (mListener != null) {
            fail("the connection to the target failed: " + cause.getMessage(), true);
        }
        context.close();
    }

    /** Returns whether a response carries the id of another request, such as a late duplicate. */
    private boolean answersOtherRequest(HttpResponse response) {
        String id = response.headers().get(mHeaderNames.requestId());
        return mRequestId != null && id != null && !id.equals(mRequestId);
    }

    private boolean onHead(HttpResponse response) {
        int status = response.status().code();
        mInterimResponse = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        if (mInterimResponse) {
            return true;
        }
        boolean unidentified =
                mRequestId != null
                        && !mRequest.healthCheck()
                        && !response.headers().contains(mHeaderNames.requestId());
        mNotExecuted =
                !mRequest.healthCheck()
                        && (status == STATUS_MISDIRECTED
                                || response.headers().contains(mHeaderNames.notExecuted()));
        // On a used connection, a refusal without an id may be that of an earlier request again.
        if (unidentified && (!mNotExecuted || mUsed)) {
            fail("the target's answer does not name its request", false);
            return false;
        }
        if (isUnsignedSuccess(response)) {
            fail("the target's answer is a success without its signature", false);
            return false;
        }
        long length = isBodiless(status) ? 0 : HttpUtil.getContentLength(response, -1L);
        mBody = length > maxAnswerBytes() ? null : newCollector((int) length);
        if (mBody == null) {
            fail(
                    "the target's answer of "
                            + length
                            + " bytes exceeds the limit of an answer or the body memory",
                    false);
            return false;
        }
        mResponse = response;
        mHeaders = HeaderFields.endToEnd(response.headers(), mHeaderNames);
        copyHeadContentLength(response);
        return true;
    }

    /** Returns the reason of a failure for messages. Other reasons may repeat what was received. */
    private static String reason(HttpObject message) {
        Throwable cause = message.decoderResult().cause();
        return cause instanceof InvalidResponseException ? ": " + cause.getMessage() : "";
    }

    private boolean isUnsignedSuccess(HttpResponse response) {
        return !mRequest.healthCheck()
                && response.status().codeClass() == HttpStatusClass.SUCCESS
                && !mHeaderNames.signature().isEmpty()
                && response.headers().get(mHeaderNames.signature(), "").isEmpty();
    }

    private BodyCollector newCollector(int length) {
        int limit = length == BodyCollector.UNKNOWN_LENGTH ? maxAnswerBytes() : length;
        return BodyCollector.of(mMemory, mChannel.alloc(), length, limit);
    }

    private int maxAnswerBytes() {
        return (int) Math.min(Integer.MAX_VALUE, mMemory.limitBytes() * MAX_ANSWER_RATIO);
    }

    private void copyHeadContentLength(HttpResponse response) {
        String length = response.headers().get(HttpHeaderNames.CONTENT_LENGTH);
        if (isHeadRequest() && length != null) {
            mHeaders.add(HeaderFields.of(HttpHeaderNames.CONTENT_LENGTH.toString(), length));
        }
    }

    private void onContent(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (mInterimResponse) {
            mInterimResponse = !last;
            return;
        }
        if (!mBody.append(content.content())) {
            fail("the target's answer exceeds the limit of an answer or the body memory", false);
            return;
        }
        if (!last) {
            return;
        }
        if (!mBody.isComplete()) {
            fail("the target's answer has not its announced length", false);
            return;
        }
        finish();
    }

    private void finish() {
        TargetListener listener = mListener;
        int status = mResponse.status().code();
        Outcome.Answer answer = new Outcome.Answer(status, mHeaders, mBody.finish(), false);
        // If the request was not fully written before the answer, the connection state is unknown.
        boolean delimited =
                isBodiless(status)
                        || HttpUtil.isTransferEncodingChunked(mResponse)
                        || HttpUtil.isContentLengthSet(mResponse);
        // Bytes after the answer belong to no request and would precede the next answer.
        boolean keepAlive =
                delimited
                        && !mDesynchronized
                        && !mDecoder.hasUnreadBytes()
                        && HttpUtil.isKeepAlive(mResponse)
                        && mWriteFuture.isSuccess();
        mBody = null;
        mListener = null;
        mDecoder.endAnswer();
        mRequest = null;
        mUsed = true;
        mIdleSinceNanoseconds = mTicker.nanoTime();
        if (keepAlive && mChannel.isActive()) {
            mPool.onIdle(this);
        } else {
            mChannel.close();
        }
        if (mNotExecuted) {
            answer.release();
            listener.onFailure(
                    Outcome.Failure.of(
                            ErrorKind.UPSTREAM_REJECTED,
                            "the target did not run the request and answered " + status),
                    false);
        } else {
            listener.onAnswer(answer);
        }
    }

    private void fail(String message, boolean crashed) {
        TargetListener listener = mListener;
        abort();
        listener.onFailure(Outcome.Failure.of(ErrorKind.UPSTREAM_FAILED, message), crashed);
    }

    private void discardBody() {
        if (mBody != null) {
            mBody.discard();
            mBody = null;
        }
    }

    private boolean isHeadRequest() {
        return HttpMethod.HEAD.name().equals(mRequest.method());
    }

    private boolean isBodiless(int status) {
        return isHeadRequest() || status == STATUS_NO_CONTENT || status == STATUS_NOT_MODIFIED;
    }

    private FullHttpRequest encode(TargetRequest request) {
        FullHttpRequest message =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.valueOf(request.method()),
                        request.path(),
                        request.body().length() == 0
                                ? Unpooled.EMPTY_BUFFER
                                : request.body().content().retainedDuplicate());
        for (Header header : request.headers()) {
            message.headers().add(header.getName(), header.getValue());
        }
        long remaining = request.deadlineNanoseconds() - mTicker.nanoTime();
        message.headers()
                .set(
                        mHeaderNames.deadline(),
                        Math.max(0, TimeUnit.NANOSECONDS.toMillis(remaining)));
        if (!request.instanceId().isEmpty()) {
            message.headers().set(mHeaderNames.expectedInstance(), request.instanceId());
        }
        if (hasBody(request)) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body().length());
        }
        return message;
    }

    private static boolean hasBody(TargetRequest request) {
        return switch (request.method()) {
            case "GET", "HEAD", "DELETE", "OPTIONS" -> request.body().length() > 0;
            default -> true;
        };
    }
}
