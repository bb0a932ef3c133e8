package org.foxtailmoor.core.home;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class FingerprintTest {
    private static final byte[] BODY = "maps".repeat(40_000).getBytes(StandardCharsets.UTF_8);

    /**
     * Guards against separate crash counts for one request, depending on where its body is stored.
     */
    @Test
    void directBufferHasTheSameFingerprintAsArray() {
        ByteBuffer direct = ByteBuffer.allocateDirect(BODY.length + 2);
        direct.position(1).put(BODY).position(1).limit(BODY.length + 1);
        assertThat(Fingerprint.of("POST", "/orders", direct.slice()))
                .isEqualTo(Fingerprint.of("POST", "/orders", BODY));
        assertThat(Fingerprint.of("POST", "/orders", direct))
                .isEqualTo(Fingerprint.of("POST", "/orders", BODY));
    }

    /** Guards against answers to one caller that clear the crashes of another one. */
    @Test
    void fingerprintWithOriginDependsOnHostAndCaller() {
        Fingerprint content = Fingerprint.of("POST", "/orders", BODY);
        Fingerprint fingerprint = content.withOrigin("mesh.example", "desk");
        assertThat(content.withOrigin("Mesh.Example", "desk")).isEqualTo(fingerprint);
        assertThat(fingerprint)
                .isNotIn(
                        content,
                        content.withOrigin("mesh.example", "rack"),
                        content.withOrigin("other.example", "desk"),
                        content.withOrigin("", "mesh.example\ndesk"),
                        Fingerprint.of("PUT", "/orders", BODY).withOrigin("mesh.example", "desk"));
    }

    @Test
    void fingerprintDependsOnMethodPathAndBody() {
        Fingerprint fingerprint = Fingerprint.of("POST", "/orders", BODY);
        assertThat(Fingerprint.of("PUT", "/orders", BODY)).isNotEqualTo(fingerprint);
        assertThat(Fingerprint.of("POST", "/orders?a", BODY)).isNotEqualTo(fingerprint);
        byte[] otherEnd = BODY.clone();
        otherEnd[BODY.length - 1]++;
        assertThat(Fingerprint.of("POST", "/orders", otherEnd)).isNotEqualTo(fingerprint);
        assertThat(Fingerprint.of("POST", "/orders", new byte[0])).isNotEqualTo(fingerprint);
        assertThat(Fingerprint.of(fingerprint.toBytes())).isEqualTo(fingerprint);
    }
}
