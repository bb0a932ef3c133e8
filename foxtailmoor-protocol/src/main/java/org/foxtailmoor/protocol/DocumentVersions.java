package org.foxtailmoor.protocol;

import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;
import org.foxtailmoor.protocol.generated.DocumentVersion;
import org.foxtailmoor.protocol.generated.Manifest;
import org.foxtailmoor.protocol.generated.PartReference;

/** Computes and compares document versions and content digests. */
public final class DocumentVersions {
    /** Version lower than every published one. */
    public static final DocumentVersion NONE = DocumentVersion.getDefaultInstance();

    private static final int DISPLAYED_DIGEST_BYTES = 4;

    private DocumentVersions() {}

    /** Returns the SHA-256 digest of a part's content, 32 bytes. */
    public static ByteString digestOf(ByteString content) {
        MessageDigest digest = sha256();
        digest.update(content.asReadOnlyByteBuffer());
        return ByteString.copyFrom(digest.digest());
    }

    /**
     * Returns the version of a manifest. Each field is hashed with its length, so that two
     * different manifests never hash the same bytes.
     *
     * @param manifest manifest with parts sorted by name, not null
     */
    public static DocumentVersion of(Manifest manifest) {
        MessageDigest digest = sha256();
        digest.update(ByteBuffer.allocate(Long.BYTES).putLong(manifest.getNumber()).flip());
        for (PartReference part : manifest.getPartsList()) {
            byte[] name = part.getName().getBytes(StandardCharsets.UTF_8);
            updateInt(digest, name.length);
            digest.update(name);
            updateInt(digest, part.getDigest().size());
            digest.update(part.getDigest().asReadOnlyByteBuffer());
            updateInt(digest, part.getSize());
        }
        return DocumentVersion.newBuilder()
                .setNumber(manifest.getNumber())
                .setDigest(ByteString.copyFrom(digest.digest()))
                .build();
    }

    /**
     * Compares two versions by number, then by digest as unsigned bytes.
     *
     * @return a negative number, 0 or a positive number as the first is older, equal or newer
     */
    public static int compare(DocumentVersion first, DocumentVersion second) {
        int order = Long.compareUnsigned(first.getNumber(), second.getNumber());
        if (order != 0) {
            return order;
        }
        return Arrays.compareUnsigned(
                first.getDigest().toByteArray(), second.getDigest().toByteArray());
    }

    /** Returns a short human-readable form, for example {@code 12-1f00ab34}. */
    public static String format(DocumentVersion version) {
        byte[] digest = version.getDigest().toByteArray();
        int length = Math.min(DISPLAYED_DIGEST_BYTES, digest.length);
        return Long.toUnsignedString(version.getNumber())
                + "-"
                + HexFormat.of().formatHex(digest, 0, length);
    }

    private static void updateInt(MessageDigest digest, int value) {
        digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(value).flip());
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform must support SHA-256", e);
        }
    }
}
