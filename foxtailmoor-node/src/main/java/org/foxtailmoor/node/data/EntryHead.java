package org.foxtailmoor.node.data;

import java.util.List;
import java.util.Objects;
import org.foxtailmoor.protocol.generated.Header;

/**
 * Request line and headers of a request from a caller.
 *
 * @param host value of the Host header without the port, empty if absent
 * @param method HTTP method
 * @param path path with query, starting with a slash
 * @param headers end-to-end headers, names in lower case
 * @param requestId id of the caller's attempt, empty if absent
 * @param idempotencyKey value of the Idempotency-Key header, or null
 * @param deadlineMilliseconds time allowed by the caller, 0 if not specified
 */
record EntryHead(
        String host,
        String method,
        String path,
        List<Header> headers,
        String requestId,
        String idempotencyKey,
        long deadlineMilliseconds) {
    EntryHead {
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(path, "path");
        Objects.requireNonNull(headers, "headers");
        Objects.requireNonNull(requestId, "requestId");
    }
}
