package org.foxtailmoor.standins.target;

import io.netty.handler.codec.http.HttpHeaders;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.standins.http.HttpAnswer;
import org.foxtailmoor.standins.http.HttpCaller;
import org.foxtailmoor.standins.http.OutgoingCall;

/** Makes the calls of a chain: a target calls another service through its own node. */
final class NextCaller {
    /** Header with the path to call. */
    static final String PATH = "Call-Next";

    /** Header with the number of calls that still follow in the chain. */
    static final String DEPTH = "Call-Depth";

    private static final long DEFAULT_TIMEOUT_MILLISECONDS = 10_000;

    private final HttpCaller mCaller;
    private final InetSocketAddress mNode;

    /** Creates a caller that sends through the caller port of a node. */
    NextCaller(HttpCaller caller, InetSocketAddress node) {
        mCaller = caller;
        mNode = node;
    }

    /**
     * Calls the next service.
     *
     * @param received headers of the request that asks for the call
     * @param requestId id of that request; the new one has the same id and its depth
     * @param depth calls that follow, at least 1
     * @param deadlineNanoseconds time left, above 0
     */
    CompletableFuture<HttpAnswer> call(
            HttpHeaders received, String requestId, int depth, long deadlineNanoseconds) {
        long left = TimeUnit.NANOSECONDS.toMillis(deadlineNanoseconds);
        long timeout = Math.max(1, Math.min(left, DEFAULT_TIMEOUT_MILLISECONDS));
        Map<String, String> headers = new TreeMap<>();
        headers.put(PATH, received.get(PATH));
        headers.put(DEPTH, Integer.toString(depth - 1));
        headers.put(AnswerBody.REQUEST_IDENTIFIER, requestId + "." + depth);
        headers.put("Foxtailmoor-Deadline-Milliseconds", Long.toString(timeout));
        return mCaller.call(
                new OutgoingCall(mNode, "GET", received.get(PATH), headers, new byte[0], timeout));
    }
}
