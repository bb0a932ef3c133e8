package org.foxtailmoor.standins.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionStage;

/**
 * One request that an {@link HttpServer} received whole.
 *
 * @param method name of the method, in capitals
 * @param path decoded path without the query, starts with a slash
 * @param parameters query parameters, unmodifiable
 * @param headers headers of the request
 * @param body body, empty if there is none; the receiver owns it
 * @param channel connection that the request arrived on
 */
public record HttpCall(
        String method,
        String path,
        Map<String, List<String>> parameters,
        HttpHeaders headers,
        byte[] body,
        Channel channel) {
    /** Returns a query parameter, or the default value if it is absent. */
    public String parameter(String name, String defaultValue) {
        List<String> values = parameters.get(name);
        return values == null || values.isEmpty() ? defaultValue : values.get(0);
    }

    /**
     * Returns a query parameter as a whole number, or the default value if it is absent.
     *
     * @throws NumberFormatException if it is no whole number
     */
    public long parameter(String name, long defaultValue) {
        String value = parameter(name, null);
        return value == null ? defaultValue : Long.parseLong(value);
    }

    /**
     * Runs an action if the connection closes before an answer is complete.
     *
     * @param answer answer to this call, not null
     * @param action runs on the event loop of the connection, at most once
     */
    public void ifClosedBefore(CompletionStage<?> answer, Runnable action) {
        ChannelFutureListener listener = closed -> action.run();
        channel.closeFuture().addListener(listener);
        answer.whenComplete((value, failure) -> channel.closeFuture().removeListener(listener));
    }
}
