package org.foxtailmoor.node.data;

import java.util.List;
import java.util.Objects;
import org.foxtailmoor.protocol.generated.Header;

/**
 * Head of a caller's request.
 *
 * @param method HTTP method
 * @param path path with query, starting with a slash
 * @param headers end-to-end headers, names in lower case
 * @param idempotencyKey value of the Idempotency-Key header, or null
 * @param deadlineMilliseconds time that the caller allows, 0 if it states none
 */
record EntryHead(
        String method,
        String path,
        List<Header> headers,
        String idempotencyKey,
        long deadlineMilliseconds) {
    EntryHead {
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(path, "path");
        Objects.requireNonNull(headers, "headers");
    }
}
