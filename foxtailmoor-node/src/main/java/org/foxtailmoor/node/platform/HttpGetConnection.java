package org.foxtailmoor.node.platform;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.http.ResponseDecoder;

/** Connection that carries one GET request at a time. Confined to its event loop. */
final class HttpGetConnection extends SimpleChannelInboundHandler<HttpObject> {
    /** Receives the changes of a connection. */
    interface Listener {
        /** Called when a complete response leaves the connection free for another request. */
        void onIdle(HttpGetConnection connection);

        /** Called when the connection is closed or unusable. */
        void onClosed(HttpGetConnection connection);
    }

    /** Limit for a response with its heads, chunk sizes and trailers. */
    private static final int MAX_RESPONSE_BYTES = 16 << 20;

    /**
     * Time for which a response may keep arriving after the timeout of its request. A peer that
     * sends bytes without end would otherwise hold the request forever.
     */
    private static final long MAX_TRANSFER_NANOSECONDS = TimeUnit.SECONDS.toNanos(10);

    private final Channel mChannel;
    private final Listener mListener;
    private HttpGetExchange mExchange;
    private HttpResponse mHead;
    private ByteBuf mBody;
    private ScheduledFuture<?> mTimeoutTask;
    private long mSentNanoseconds;

    private HttpGetConnection(Channel channel, Listener listener) {
        mChannel = channel;
        mListener = listener;
    }

    /** Adds the handlers of a connection to a new channel. */
    static HttpGetConnection addTo(Channel channel, Listener listener) {
        HttpGetConnection connection = new HttpGetConnection(channel, listener);
        channel.pipeline()
                .addLast(connection.new ByteCounter())
                .addLast(new ResponseDecoder(new HttpDecoderConfig()))
                .addLast(new HttpRequestEncoder())
                .addLast(connection);
        return connection;
    }

    boolean isActive() {
        return mChannel.isActive();
    }

    void close() {
        mChannel.close();
    }

    /** Sends a request. The connection must be active and idle. */
    void send(HttpGetExchange exchange) {
        mExchange = exchange;
        exchange.progress().onConnected();
        mSentNanoseconds = now();
        scheduleTimeout();
        mChannel.writeAndFlush(newRequest(exchange));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (mExchange == null || message.decoderResult().isFailure()) {
            fail("malformed or unexpected response", message.decoderResult().cause());
            return;
        }
        if (message instanceof HttpResponse head) {
            onHead(head);
        }
        if (mExchange != null && message instanceof HttpContent content) {
            onContent(content);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        fail("the connection was closed before the response", null);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail("connection error", cause);
    }

    private void onHead(HttpResponse head) {
        mHead = head;
        mBody = Unpooled.buffer();
        long length = HttpUtil.getContentLength(head, HttpGetProgress.UNKNOWN_LENGTH);
        mExchange.progress().onHead(length);
        if (length > MAX_RESPONSE_BYTES) {
            fail("the response is too large", null);
        }
    }

    private void onContent(HttpContent content) {
        int bytes = content.content().readableBytes();
        boolean bodyBegins = mExchange.progress().bodyBytes() == 0 && bytes > 0;
        mExchange.progress().onBody(bytes);
        mBody.writeBytes(content.content());
        if (bodyBegins) {
            // The stall timeout may end before the timeout of a long poll.
            mTimeoutTask.cancel(false);
            scheduleTimeout();
        }
        if (content instanceof LastHttpContent) {
            // An informational response precedes the actual one.
            if (mHead.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
                complete();
            }
        }
    }

    private void complete() {
        HttpGetExchange exchange = endExchange();
        ByteString body = UnsafeByteOperations.unsafeWrap(ByteBufUtil.getBytes(mBody));
        HttpResponse head = mHead;
        mHead = null;
        mBody = null;
        if (HttpUtil.isKeepAlive(head)) {
            mListener.onIdle(this);
        } else {
            mChannel.close();
        }
        exchange.complete(new HttpGetResponse(head.status().code(), head.headers(), body));
    }

    private void scheduleTimeout() {
        mTimeoutTask =
                mChannel.eventLoop()
                        .schedule(
                                this::checkTimeout,
                                deadlineNanoseconds() - now(),
                                TimeUnit.NANOSECONDS);
    }

    /** Gives the request up, unless bytes that arrived meanwhile have moved its deadline. */
    private void checkTimeout() {
        long lateNanoseconds = now() - deadlineNanoseconds();
        if (lateNanoseconds < 0) {
            scheduleTimeout();
            return;
        }
        String reason = timeoutReason();
        HttpGetExchange exchange = endExchange();
        closeUnusable();
        exchange.timeOut(
                reason + ", timer " + TimeUnit.NANOSECONDS.toMillis(lateNanoseconds) + " ms late");
    }

    /**
     * Returns the time at which the request is given up. The wait of a long poll may pass between
     * the head and the body, so that only the body ends it.
     */
    private long deadlineNanoseconds() {
        HttpGetProgress progress = mExchange.progress();
        long answerDeadline = mSentNanoseconds + mExchange.timeout().toNanos();
        if (progress.state() != HttpGetProgress.State.PARTLY_RECEIVED) {
            return answerDeadline;
        }
        long stallDeadline = progress.lastByteNanoseconds() + mExchange.stallTimeout().toNanos();
        boolean bodyBegun = progress.bodyBytes() > 0;
        long deadline = bodyBegun ? stallDeadline : later(answerDeadline, stallDeadline);
        return earlier(deadline, transferDeadlineNanoseconds());
    }

    private long transferDeadlineNanoseconds() {
        return mSentNanoseconds + mExchange.timeout().toNanos() + MAX_TRANSFER_NANOSECONDS;
    }

    private String timeoutReason() {
        if (mExchange.progress().state() != HttpGetProgress.State.PARTLY_RECEIVED) {
            return "no response within " + mExchange.timeout().toMillis() + " ms";
        }
        if (now() - transferDeadlineNanoseconds() >= 0) {
            long limit = mExchange.timeout().toNanos() + MAX_TRANSFER_NANOSECONDS;
            return "not complete within " + TimeUnit.NANOSECONDS.toMillis(limit) + " ms";
        }
        return "no progress for " + mExchange.stallTimeout().toMillis() + " ms";
    }

    private void fail(String reason, Throwable cause) {
        HttpGetExchange exchange = mExchange == null ? null : endExchange();
        closeUnusable();
        if (exchange != null) {
            exchange.fail(reason, cause);
        }
    }

    private HttpGetExchange endExchange() {
        HttpGetExchange exchange = mExchange;
        mExchange = null;
        mTimeoutTask.cancel(false);
        return exchange;
    }

    private void closeUnusable() {
        mListener.onClosed(this);
        mChannel.close();
    }

    private long now() {
        return mChannel.eventLoop().ticker().nanoTime();
    }

    /** Returns the later of two ticker times; comparing the difference tolerates overflow. */
    private static long later(long first, long second) {
        return first - second >= 0 ? first : second;
    }

    /** Returns the earlier of two ticker times; comparing the difference tolerates overflow. */
    private static long earlier(long first, long second) {
        return first - second <= 0 ? first : second;
    }

    private static FullHttpRequest newRequest(HttpGetExchange exchange) {
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, HttpMethod.GET, exchange.pathAndQuery());
        String host = exchange.address().getHostString() + ":" + exchange.address().getPort();
        request.headers().set(HttpHeaderNames.HOST, host);
        return request;
    }

    /** Counts and limits the bytes of the response as they arrive, before they are decoded. */
    private final class ByteCounter extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (mExchange != null && message instanceof ByteBuf buffer) {
                mExchange.received(buffer.readableBytes());
                if (mExchange.progress().receivedBytes() > MAX_RESPONSE_BYTES) {
                    buffer.release();
                    fail("the response is too large", null);
                    return;
                }
            }
            context.fireChannelRead(message);
        }
    }
}
