package org.foxtailmoor.node.admin;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletionException;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.base.FoxtailmoorException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Passes each admin request to the endpoint of its path, and closes the connection after it. */
final class AdminHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final Logger LOGGER = LoggerFactory.getLogger(AdminHandler.class);

    private final Map<String, AdminEndpoint> mEndpoints;

    AdminHandler(Map<String, AdminEndpoint> endpoints) {
        mEndpoints = endpoints;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        QueryStringDecoder query = new QueryStringDecoder(request.uri());
        AdminEndpoint endpoint = mEndpoints.get(query.path());
        if (endpoint == null) {
            String message = "no such path; there are " + mEndpoints.keySet();
            write(context, error(HttpResponseStatus.NOT_FOUND.code(), message));
            return;
        }
        if (!request.method().equals(HttpMethod.GET)) {
            write(context, error(HttpResponseStatus.METHOD_NOT_ALLOWED.code(), "only GET"));
            return;
        }
        endpoint.answer(query.parameters())
                .whenComplete(
                        (answer, failure) ->
                                write(context, failure == null ? answer : errorOf(failure)));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOGGER.debug("admin connection failed: {}", cause.toString());
        context.close();
    }

    private static void write(ChannelHandlerContext context, AdminResponse answer) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(answer.status()),
                        Unpooled.copiedBuffer(answer.body(), StandardCharsets.UTF_8));
        response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, answer.contentType())
                .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes())
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    private static AdminResponse errorOf(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof FoxtailmoorException exception) {
            return error(exception.kind().status(), exception.getMessage());
        }
        LOGGER.warn("an admin request failed", cause);
        return error(ErrorKind.INTERNAL.status(), "internal error");
    }

    private static AdminResponse error(int status, String message) {
        return AdminResponse.json(
                status, JsonNodeFactory.instance.objectNode().put("error", message));
    }
}
