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
import io.netty.handler.timeout.IdleStateEvent;
import java.util.Map;
import java.util.concurrent.CompletionException;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.base.FoxtailmoorException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Dispatches each admin request to the endpoint for its path. The connection is closed after the
 * response, unless the response says otherwise.
 */
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
            write(context, errorResponse(HttpResponseStatus.NOT_FOUND.code(), message));
            return;
        }
        if (!request.method().equals(HttpMethod.GET)) {
            write(context, errorResponse(HttpResponseStatus.METHOD_NOT_ALLOWED.code(), "only GET"));
            return;
        }
        endpoint.handle(query.parameters())
                .whenComplete(
                        (response, failure) ->
                                write(
                                        context,
                                        failure == null ? response : toErrorResponse(failure)));
    }

    /** Closes connections of peers that are gone without having closed them. */
    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof IdleStateEvent) {
            context.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOGGER.debug("closing an admin connection after an error: {}", cause.toString());
        context.close();
    }

    private static void write(ChannelHandlerContext context, AdminResponse response) {
        FullHttpResponse httpResponse =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(response.status()),
                        Unpooled.wrappedBuffer(response.body().asReadOnlyByteBuffer()));
        httpResponse
                .headers()
                .set(HttpHeaderNames.CONTENT_TYPE, response.contentType())
                .set(HttpHeaderNames.CONTENT_LENGTH, httpResponse.content().readableBytes());
        if (response.persistent()) {
            context.writeAndFlush(httpResponse);
            return;
        }
        httpResponse.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        context.writeAndFlush(httpResponse).addListener(ChannelFutureListener.CLOSE);
    }

    private static AdminResponse toErrorResponse(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof FoxtailmoorException exception) {
            return errorResponse(exception.kind().status(), exception.getMessage());
        }
        LOGGER.warn("admin request failed with an unexpected exception", cause);
        return errorResponse(ErrorKind.INTERNAL.status(), "internal error");
    }

    private static AdminResponse errorResponse(int status, String message) {
        return AdminResponse.json(
                status, JsonNodeFactory.instance.objectNode().put("error", message));
    }
}
