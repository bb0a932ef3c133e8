package org.foxtailmoor.standins.target;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.zip.CRC32C;

/**
 * Makes answer bodies that their receiver can verify: the request id, a line end, and a fill that
 * follows from the request id.
 */
public final class AnswerBody {
    /** Header with the id that the caller gave the request, echoed by the answer. */
    public static final String REQUEST_IDENTIFIER = "Request-Identifier";

    /** Header of the answer with the id of the target that ran the request. */
    public static final String TARGET_IDENTIFIER = "Target-Identifier";

    /** Header of the answer with the checksum of its body. */
    public static final String BODY_CHECKSUM = "Body-Checksum";

    /** Header of the answer with the checksum of the request body that the target received. */
    public static final String RECEIVED_CHECKSUM = "Received-Checksum";

    /** Header of the request with the wanted size of the answer body in bytes. */
    public static final String ANSWER_BYTES = "Answer-Bytes";

    private AnswerBody() {}

    /**
     * Returns the answer body for a request.
     *
     * @param requestId id of the request, not null
     * @param size size in bytes; the body is never shorter than the request id and a line end
     */
    public static byte[] of(String requestId, int size) {
        byte[] start = (requestId + "\n").getBytes(StandardCharsets.UTF_8);
        byte[] body = Arrays.copyOf(start, Math.max(size, start.length));
        Arrays.fill(body, start.length, body.length, (byte) ('a' + checksumOf(start) % 26));
        return body;
    }

    /** Returns whether a body is the whole answer to a request. */
    public static boolean isAnswerTo(String requestId, byte[] body) {
        return Arrays.equals(of(requestId, body.length), body);
    }

    /** Returns the CRC-32C of a body as lower-case hexadecimal text. */
    public static String checksum(byte[] body) {
        return Long.toHexString(checksumOf(body));
    }

    private static long checksumOf(byte[] body) {
        CRC32C checksum = new CRC32C();
        checksum.update(body);
        return checksum.getValue();
    }
}
