package org.foxtailmoor.node.data;

import java.util.List;
import java.util.Objects;
import org.foxtailmoor.protocol.generated.Header;

/**
 * Head of a caller's request.
 *
 * @param host host that the request names, without port; empty if it names none
 * @param method HTTP method
 * @param path path with query, starting with a slash
 * @param headers end-to-end headers, names in lower case
 * @param requestId id of the caller's attempt, empty if it states none
 * @param idempotencyKey value of the Idempotency-Key header, or null
 * @param deadlineMilliseconds time that the caller allows, 0 if it states none
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
