package org.foxtailmoor.protocol;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import org.foxtailmoor.protocol.generated.DocumentVersion;
import org.junit.jupiter.api.Test;

class DocumentVersionsTest {
    private static DocumentVersion version(long number, int digest) {
        ByteString bytes = ByteString.copyFrom(new byte[] {(byte) digest, 0x34});
        return DocumentVersion.newBuilder().setNumber(number).setDigest(bytes).build();
    }

    /**
     * Guards against signed comparison, which puts large numbers and digests in the wrong order.
     * Nodes could then order the same versions differently.
     */
    @Test
    void compareIsUnsignedByNumberThenDigest() {
        assertThat(DocumentVersions.compare(version(2, 0), version(1, 0xff))).isPositive();
        assertThat(DocumentVersions.compare(version(-1, 0), version(1, 0))).isPositive();
        assertThat(DocumentVersions.compare(version(1, 0x80), version(1, 0x7f))).isPositive();
        assertThat(DocumentVersions.compare(version(1, 5), version(1, 5))).isZero();
    }

    /** Guards against an exception for the empty version of a process without a document. */
    @Test
    void formatTruncatesTheDigest() {
        assertThat(DocumentVersions.format(version(12, 0x1f))).isEqualTo("12-1f34");
        assertThat(DocumentVersions.format(DocumentVersions.NONE)).isEqualTo("0-");
    }
}
