package org.foxtailmoor.protocol;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.TreeMap;
import org.foxtailmoor.protocol.generated.DocumentVersion;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class DocumentTest {
    private static Document document(long number, String... namesAndContents) {
        TreeMap<String, ByteString> contents = new TreeMap<>();
        for (int index = 0; index < namesAndContents.length; index += 2) {
            contents.put(
                    namesAndContents[index], ByteString.copyFromUtf8(namesAndContents[index + 1]));
        }
        return Document.of(number, contents);
    }

    @Nested
    class Versions {
        /**
         * Guards against different contents with equal versions, which nodes would not exchange.
         */
        @Test
        void dependOnNumberNamesAndContents() {
            DocumentVersion version = document(1, "a", "x", "b", "y").version();
            assertThat(document(1, "b", "y", "a", "x").version()).isEqualTo(version);
            assertThat(document(2, "a", "x", "b", "y").version()).isNotEqualTo(version);
            assertThat(document(1, "a", "x", "b", "z").version()).isNotEqualTo(version);
            assertThat(document(1, "ab", "x", "", "y").version()).isNotEqualTo(version);
        }

        /** Guards against a published version that a newly started process rejects as old. */
        @Test
        void areHigherThanNone() {
            assertThat(Document.EMPTY.version()).isEqualTo(DocumentVersions.NONE);
            assertThat(DocumentVersions.compare(document(0).version(), DocumentVersions.NONE))
                    .isPositive();
        }
    }

    /** Guards against a document that changes when the caller alters the map it was built from. */
    @Test
    void copiesItsContents() {
        TreeMap<String, ByteString> contents = new TreeMap<>();
        Document document = Document.of(1, contents);
        contents.put("a", ByteString.EMPTY);
        assertThat(document.contents()).isEmpty();
    }
}
