package org.foxtailmoor.core.home;

import java.util.List;
import java.util.Objects;
import org.foxtailmoor.protocol.generated.Header;

/**
 * A complete answer of the target. The body is not copied and must not be modified.
 *
 * @param status HTTP status
 * @param headers headers to replay, without null elements
 * @param body complete body, not null
 */
public record StoredAnswer(int status, List<Header> headers, byte[] body) {
    private static final int HEADER_OVERHEAD_BYTES = 32;
    private static final int MIN_SERVER_ERROR_STATUS = 500;

    /** Copies the headers and rejects null. */
    public StoredAnswer {
        headers = List.copyOf(headers);
        Objects.requireNonNull(body, "body");
    }

    /**
     * Returns whether the target has failed. It may have done so before the code that crashes it.
     */
    boolean isServerError() {
        return status >= MIN_SERVER_ERROR_STATUS;
    }

    /** Returns the approximate size of the answer in bytes. */
    public int sizeBytes() {
        int size = body.length;
        for (Header header : headers) {
            size += HEADER_OVERHEAD_BYTES + header.getSerializedSize();
        }
        return size;
    }
}
