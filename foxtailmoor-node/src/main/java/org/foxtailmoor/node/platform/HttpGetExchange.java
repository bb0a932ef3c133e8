package org.foxtailmoor.node.platform;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.base.FoxtailmoorException;

/**
 * One GET request and its result. Confined to one event loop.
 *
 * @param address address of the peer
 * @param pathAndQuery request path with query string
 * @param timeout maximum time until the body of the response begins
 * @param stallTimeout maximum time without a new byte once the body has begun
 * @param progress course of the request
 * @param recorder records the course at its end
 * @param result future that gets the response
 */
record HttpGetExchange(
        InetSocketAddress address,
        String pathAndQuery,
        Duration timeout,
        Duration stallTimeout,
        HttpGetProgress progress,
        HttpGetRecorder recorder,
        CompletableFuture<HttpGetResponse> result) {

    /** Records bytes of the response. */
    void received(int bytes) {
        progress.onBytes(bytes);
        recorder.received(bytes);
    }

    /** Ends the request with its response. */
    void complete(HttpGetResponse response) {
        recorder.completed(pathAndQuery, progress);
        result.complete(response);
    }

    /**
     * Ends the request with an error.
     *
     * @param reason reason in words
     * @param cause cause, or null
     */
    void fail(String reason, Throwable cause) {
        end(reason, cause, false);
    }

    /**
     * Ends the request because of a timeout.
     *
     * @param reason reason in words
     */
    void timeOut(String reason) {
        end(reason, null, true);
    }

    private void end(String reason, Throwable cause, boolean timedOut) {
        recorder.failed(progress, timedOut);
        result.completeExceptionally(
                FoxtailmoorException.of(
                        ErrorKind.PLATFORM_UNAVAILABLE,
                        "request to the platform at "
                                + address
                                + " failed: "
                                + reason
                                + " ("
                                + progress.describe()
                                + ")",
                        cause));
    }
}
