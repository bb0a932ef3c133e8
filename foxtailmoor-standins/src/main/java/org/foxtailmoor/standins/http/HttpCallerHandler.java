package org.foxtailmoor.standins.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

/** Sends the requests of one connection and collects each answer. */
final class HttpCallerHandler extends SimpleChannelInboundHandler<HttpObject> {
    private final BiConsumer<InetSocketAddress, Channel> mRelease;
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private HttpCaller.Exchange mExchange;
    private HttpResponse mResponse;
    private Future<?> mTimer;

    /** Creates a handler that hands a connection back once its answer is whole. */
    HttpCallerHandler(BiConsumer<InetSocketAddress, Channel> release) {
        mRelease = release;
    }

    /** Sends a request on a connection that carries no other one. */
    static void send(Channel channel, HttpCaller.Exchange exchange) {
        HttpCallerHandler handler = channel.pipeline().get(HttpCallerHandler.class);
        if (handler == null) {
            // A closed connection has an empty pipeline.
            fail(exchange, CallFailure.Reason.CLOSED, null);
            return;
        }
        channel.eventLoop().execute(() -> handler.start(channel, exchange));
    }

    private void start(Channel channel, HttpCaller.Exchange exchange) {
        if (!channel.isActive()) {
            fail(exchange, CallFailure.Reason.CLOSED, null);
            return;
        }
        mExchange = exchange;
        long timeout = exchange.call().timeoutMilliseconds();
        mTimer =
                channel.eventLoop()
                        .schedule(
                                () -> end(channel, CallFailure.Reason.TIMEOUT, null),
                                timeout,
                                TimeUnit.MILLISECONDS);
        exchange.answer()
                .whenComplete(
                        (answer, failure) -> {
                            if (exchange.answer().isCancelled()) {
                                channel.close();
                            }
                        });
        channel.writeAndFlush(requestOf(exchange.call()));
    }

    private static FullHttpRequest requestOf(OutgoingCall call) {
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.valueOf(call.method()),
                        call.uri(),
                        Unpooled.wrappedBuffer(call.body()));
        call.headers().forEach((name, value) -> request.headers().set(name, value));
        String host = call.address().getAddress().getHostAddress() + ":" + call.address().getPort();
        request.headers().set(HttpHeaderNames.HOST, host);
        if (call.body().length > 0 || !call.method().equals("GET")) {
            HttpUtil.setContentLength(request, call.body().length);
        }
        return request;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject object)
            throws IOException {
        if (object instanceof HttpResponse response) {
            mResponse = response;
            mBody.reset();
        }
        if (object instanceof HttpContent content) {
            content.content().readBytes(mBody, content.content().readableBytes());
        }
        if (object.decoderResult().isFailure()) {
            end(context.channel(), CallFailure.Reason.TRUNCATED, object.decoderResult().cause());
            return;
        }
        if (object instanceof LastHttpContent && mExchange != null && !isInterim()) {
            complete(context.channel());
        }
    }

    private boolean isInterim() {
        return mResponse.status().code() < HttpResponseStatus.OK.code();
    }

    private void complete(Channel channel) {
        HttpCaller.Exchange exchange = mExchange;
        HttpAnswer answer =
                new HttpAnswer(mResponse.status().code(), mResponse.headers(), mBody.toByteArray());
        boolean keepAlive = HttpUtil.isKeepAlive(mResponse);
        mTimer.cancel(false);
        mExchange = null;
        mResponse = null;
        if (keepAlive) {
            mRelease.accept(exchange.call().address(), channel);
        } else {
            channel.close();
        }
        exchange.answer().complete(answer);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        CallFailure.Reason reason =
                mResponse == null ? CallFailure.Reason.CLOSED : CallFailure.Reason.TRUNCATED;
        end(context.channel(), reason, null);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }

    private void end(Channel channel, CallFailure.Reason reason, Throwable cause) {
        HttpCaller.Exchange exchange = mExchange;
        if (exchange == null) {
            return;
        }
        mExchange = null;
        mTimer.cancel(false);
        channel.close();
        fail(exchange, reason, cause);
    }

    private static void fail(
            HttpCaller.Exchange exchange, CallFailure.Reason reason, Throwable cause) {
        if (reason == CallFailure.Reason.CLOSED && exchange.repeat() != null) {
            exchange.repeat().run();
            return;
        }
        exchange.answer().completeExceptionally(new CallFailure(reason, exchange.call(), cause));
    }
}
