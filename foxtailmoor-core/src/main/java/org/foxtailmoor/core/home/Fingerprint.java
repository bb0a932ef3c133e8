package org.foxtailmoor.core.home;

import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.Locale;
import net.openhft.hashing.LongTupleHashFunction;

/**
 * 128-bit hash of the fields of a request by which its repeats are recognised.
 *
 * @param high first 8 bytes
 * @param low last 8 bytes
 */
public record Fingerprint(long high, long low) {
    /** Length of the binary representation in bytes. */
    public static final int BYTES = 16;

    private static final int SEGMENT_BYTES = 65_536;
    private static final LongTupleHashFunction HASH = LongTupleHashFunction.xx128();

    /**
     * Returns the fingerprint of the content of a request: of its method, path and body.
     *
     * @param method HTTP method, not null
     * @param path path with query, not null
     * @param body whole body, not null
     */
    public static Fingerprint of(String method, String path, byte[] body) {
        return of(method, path, ByteBuffer.wrap(body));
    }

    /**
     * Returns the fingerprint of the content of a request whose body may be off the heap.
     *
     * @param method HTTP method, not null
     * @param path path with query, not null
     * @param body whole body between position and limit, which are not modified; not null
     */
    public static Fingerprint of(String method, String path, ByteBuffer body) {
        byte[] head = (method + '\n' + path + '\n').getBytes(StandardCharsets.UTF_8);
        ByteBuffer rest = body.duplicate();
        int segments = Math.max(1, (rest.remaining() + SEGMENT_BYTES - 1) / SEGMENT_BYTES);
        ByteBuffer hashed = ByteBuffer.allocate(head.length + segments * BYTES).put(head);
        // The hash function only accepts arrays. Copying a large body at once could fill a small
        // heap.
        byte[] segment = new byte[Math.min(SEGMENT_BYTES, rest.remaining())];
        for (int i = 0; i < segments; i++) {
            int length = Math.min(SEGMENT_BYTES, rest.remaining());
            rest.get(segment, 0, length);
            long[] hash = HASH.hashBytes(segment, 0, length);
            hashed.putLong(hash[0]).putLong(hash[1]);
        }
        long[] hash = HASH.hashBytes(hashed.array());
        return new Fingerprint(hash[0], hash[1]);
    }

    /**
     * Returns a fingerprint that also depends on where a request comes from and goes to. Requests
     * with the same content but of another caller may have another effect on a target.
     *
     * @param host requested host in any case, empty if unknown, not null
     * @param callerService service of the instance where the request originated, empty if unknown,
     *     not null
     */
    public Fingerprint withOrigin(String host, String callerService) {
        byte[] origin =
                (host.toLowerCase(Locale.ROOT) + '\n' + callerService)
                        .getBytes(StandardCharsets.UTF_8);
        ByteBuffer hashed = ByteBuffer.allocate(BYTES + origin.length);
        hashed.putLong(high).putLong(low).put(origin);
        long[] hash = HASH.hashBytes(hashed.array());
        return new Fingerprint(hash[0], hash[1]);
    }

    /** Parses the binary representation; returns null if its length is not {@link #BYTES}. */
    public static Fingerprint of(ByteString bytes) {
        if (bytes.size() != BYTES) {
            return null;
        }
        ByteBuffer buffer = bytes.asReadOnlyByteBuffer();
        return new Fingerprint(buffer.getLong(), buffer.getLong());
    }

    /** Returns the hexadecimal representation, twice {@link #BYTES} characters long. */
    public String toHex() {
        return HexFormat.of().toHexDigits(high) + HexFormat.of().toHexDigits(low);
    }

    /** Returns the binary representation, {@link #BYTES} long. */
    public ByteString toBytes() {
        ByteBuffer buffer = ByteBuffer.allocate(BYTES).putLong(high).putLong(low).flip();
        return ByteString.copyFrom(buffer);
    }
}
