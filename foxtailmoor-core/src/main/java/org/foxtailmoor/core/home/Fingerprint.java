package org.foxtailmoor.core.home;

import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import net.openhft.hashing.LongTupleHashFunction;

/**
 * 128-bit hash of the method, path and body of a request.
 *
 * @param high first 8 bytes
 * @param low last 8 bytes
 */
public record Fingerprint(long high, long low) {
    /** Length of the binary form in bytes. */
    public static final int BYTES = 16;

    private static final LongTupleHashFunction HASH = LongTupleHashFunction.xx128();

    /**
     * Returns the fingerprint of a request.
     *
     * @param method HTTP method, not null
     * @param path path with query, not null
     * @param body whole body, not null
     */
    public static Fingerprint of(String method, String path, byte[] body) {
        byte[] head = (method + '\n' + path + '\n').getBytes(StandardCharsets.UTF_8);
        long[] bodyHash = HASH.hashBytes(body);
        ByteBuffer buffer = ByteBuffer.allocate(head.length + BYTES);
        buffer.put(head).putLong(bodyHash[0]).putLong(bodyHash[1]);
        long[] hash = HASH.hashBytes(buffer.array());
        return new Fingerprint(hash[0], hash[1]);
    }

    /** Returns a fingerprint from its binary form, or null if the length is not 16 bytes. */
    public static Fingerprint of(ByteString bytes) {
        if (bytes.size() != BYTES) {
            return null;
        }
        ByteBuffer buffer = bytes.asReadOnlyByteBuffer();
        return new Fingerprint(buffer.getLong(), buffer.getLong());
    }

    /** Returns the binary form, 16 bytes. */
    public ByteString toBytes() {
        ByteBuffer buffer = ByteBuffer.allocate(BYTES).putLong(high).putLong(low).flip();
        return ByteString.copyFrom(buffer);
    }
}
