package org.foxtailmoor.node.data;

import java.util.List;
import java.util.Objects;
import org.foxtailmoor.protocol.generated.Header;

/**
 * Request to the target.
 *
 * @param method HTTP method
 * @param path path with query
 * @param headers end-to-end headers
 * @param instanceId target that must run the request, empty for any
 * @param body whole body; owned by the sender, who keeps it until the outcome
 * @param deadlineNanoseconds deadline by the node's ticker
 * @param idempotent whether the request may run more than once
 */
record TargetRequest(
        String method,
        String path,
        List<Header> headers,
        String instanceId,
        HeldBody body,
        long deadlineNanoseconds,
        boolean idempotent) {
    TargetRequest {
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(path, "path");
        Objects.requireNonNull(headers, "headers");
        Objects.requireNonNull(instanceId, "instanceId");
        Objects.requireNonNull(body, "body");
    }
}
