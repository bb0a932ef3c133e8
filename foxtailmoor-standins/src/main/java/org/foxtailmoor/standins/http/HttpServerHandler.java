package org.foxtailmoor.standins.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.AttributeKey;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.Queue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Hands whole requests to a service and writes the answers in the order of the requests. */
final class HttpServerHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final Logger LOG = LoggerFactory.getLogger(HttpServerHandler.class);
    private static final AttributeKey<Boolean> SILENT = AttributeKey.valueOf("standins.silent");
    private static final int STATUS_BAD_REQUEST = 400;
    private static final int STATUS_INTERNAL = 500;

    private final HttpService mService;
    private final Queue<Pending> mWaiting = new ArrayDeque<>();
    private boolean mBusy;

    private record Pending(HttpCall call, boolean keepAlive) {}

    HttpServerHandler(HttpService service) {
        mService = service;
    }

    /** Makes a connection silent: it stays open, and no further byte is read or written. */
    static void silence(Channel channel) {
        channel.attr(SILENT).set(true);
        channel.config().setAutoRead(false);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        QueryStringDecoder decoder = new QueryStringDecoder(request.uri());
        HttpCall call =
                new HttpCall(
                        request.method().name(),
                        decoder.path(),
                        decoder.parameters(),
                        request.headers().copy(),
                        ByteBufUtil.getBytes(request.content()),
                        context.channel());
        mWaiting.add(new Pending(call, HttpUtil.isKeepAlive(request)));
        answerNext(context);
    }

    private void answerNext(ChannelHandlerContext context) {
        if (mBusy || mWaiting.isEmpty()) {
            return;
        }
        mBusy = true;
        Pending pending = mWaiting.remove();
        try {
            mService.answer(pending.call())
                    .whenComplete((reply, failure) -> finish(context, pending, reply, failure));
        } catch (IllegalArgumentException e) {
            finish(context, pending, HttpReply.ofText(STATUS_BAD_REQUEST, e.getMessage()), null);
        }
    }

    private void finish(
            ChannelHandlerContext context, Pending pending, HttpReply reply, Throwable failure) {
        if (!context.executor().inEventLoop()) {
            context.executor().execute(() -> finish(context, pending, reply, failure));
            return;
        }
        if (context.channel().hasAttr(SILENT) || !context.channel().isActive()) {
            return;
        }
        if (failure != null) {
            LOG.warn(
                    "request {} {} failed",
                    pending.call().method(),
                    pending.call().path(),
                    failure);
        }
        HttpReply sent = failure == null ? reply : HttpReply.of(STATUS_INTERNAL);
        write(context, pending, sent);
        mBusy = false;
        answerNext(context);
    }

    private static void write(ChannelHandlerContext context, Pending pending, HttpReply reply) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(reply.status()),
                        Unpooled.wrappedBuffer(reply.body()));
        for (Map.Entry<String, String> header : reply.headers().entrySet()) {
            response.headers().set(header.getKey(), header.getValue());
        }
        HttpUtil.setContentLength(response, reply.body().length);
        boolean keepAlive = pending.keepAlive() && HttpUtil.isKeepAlive(response);
        HttpUtil.setKeepAlive(response, keepAlive);
        ChannelFuture written = context.writeAndFlush(response);
        if (!keepAlive) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOG.debug("connection {} failed", context.channel(), cause);
        context.close();
    }
}
