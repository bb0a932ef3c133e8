package org.foxtailmoor.node.data;

import java.util.List;
import java.util.Objects;
import org.foxtailmoor.protocol.generated.Header;

/**
 * Request to be sent to the target.
 *
 * @param method HTTP method
 * @param path path including the query
 * @param headers end-to-end headers
 * @param instanceId instance that must run the request, empty for any
 * @param body complete body; owned by the sender and kept until the outcome
 * @param deadlineNanoseconds deadline as ticker time of the node
 * @param idempotent whether the request may run more than once
 * @param healthCheck whether this is a health check, whose answer needs neither a signature nor the
 *     id of its request, and whose status says nothing
 */
record TargetRequest(
        String method,
        String path,
        List<Header> headers,
        String instanceId,
        BufferedBody body,
        long deadlineNanoseconds,
        boolean idempotent,
        boolean healthCheck) {
    TargetRequest {
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(path, "path");
        Objects.requireNonNull(headers, "headers");
        Objects.requireNonNull(instanceId, "instanceId");
        Objects.requireNonNull(body, "body");
    }

    /** Creates a request that is not a health check. */
    TargetRequest(
            String method,
            String path,
            List<Header> headers,
            String instanceId,
            BufferedBody body,
            long deadlineNanoseconds,
            boolean idempotent) {
        this(method, path, headers, instanceId, body, deadlineNanoseconds, idempotent, false);
    }
}
