package org.foxtailmoor.standins.http;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.base.FoxtailmoorException;

/** Calls control and admin ports and waits for the answers. */
public final class ControlClient implements AutoCloseable {
    private static final int MAXIMUM_CONNECTIONS = 16;
    private static final long TIMEOUT_MILLISECONDS = 5_000;
    private static final int STATUS_OK = 200;
    private static final int STATUS_NO_CONTENT = 204;

    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpCaller mCaller = HttpCaller.of(mGroup, MAXIMUM_CONNECTIONS);

    /**
     * Returns the address that a text of the form {@code IP:PORT} names.
     *
     * @throws IllegalArgumentException if the text has another form
     */
    public static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException(text + " does not have the form IP:PORT");
        }
        int port = Integer.parseInt(text.substring(colon + 1));
        return new InetSocketAddress(text.substring(0, colon), port);
    }

    /** Sends a GET and returns its answer without waiting. */
    public CompletableFuture<HttpAnswer> get(InetSocketAddress address, String uri) {
        return mCaller.call(OutgoingCall.get(address, uri, TIMEOUT_MILLISECONDS));
    }

    /** Sends any call and returns its answer without waiting. */
    public CompletableFuture<HttpAnswer> call(OutgoingCall call) {
        return mCaller.call(call);
    }

    /**
     * Returns the JSON that a port answers.
     *
     * @throws FoxtailmoorException of kind PLATFORM_UNAVAILABLE if it does not answer with 200
     */
    public JsonNode getJson(InetSocketAddress address, String uri) {
        return JsonRecords.parse(require(OutgoingCall.get(address, uri, TIMEOUT_MILLISECONDS)));
    }

    /**
     * Sends a body and waits for a successful answer.
     *
     * @throws FoxtailmoorException of kind PLATFORM_UNAVAILABLE if there is none
     */
    public void send(InetSocketAddress address, String method, String uri, byte[] body) {
        require(new OutgoingCall(address, method, uri, Map.of(), body, TIMEOUT_MILLISECONDS));
    }

    private byte[] require(OutgoingCall call) {
        String subject = call.method() + " " + call.uri() + " at " + call.address();
        try {
            HttpAnswer answer = mCaller.call(call).join();
            if (answer.status() == STATUS_OK || answer.status() == STATUS_NO_CONTENT) {
                return answer.body();
            }
            throw FoxtailmoorException.of(
                    ErrorKind.PLATFORM_UNAVAILABLE, subject + ": status " + answer.status());
        } catch (CompletionException e) {
            throw FoxtailmoorException.of(
                    ErrorKind.PLATFORM_UNAVAILABLE, subject + ": no answer", e);
        }
    }

    @Override
    public void close() {
        mCaller.close();
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
