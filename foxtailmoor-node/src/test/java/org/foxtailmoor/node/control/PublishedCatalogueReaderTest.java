package org.foxtailmoor.node.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.foxtailmoor.base.FoxtailmoorException;
import org.foxtailmoor.core.source.ConfigurationSource;
import org.foxtailmoor.core.source.SourceValue;
import org.foxtailmoor.protocol.Document;
import org.foxtailmoor.protocol.generated.PartReference;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PublishedCatalogueReaderTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    private final FakeSource mSource = new FakeSource();
    private final PublishedCatalogueReader mReader = new PublishedCatalogueReader(mSource);

    private static Document document(long number, String first, String second) {
        TreeMap<String, ByteString> parts = new TreeMap<>();
        parts.put("global", ByteString.copyFromUtf8(first));
        parts.put("service/saldo", ByteString.copyFromUtf8(second));
        return Document.of(number, parts);
    }

    @Nested
    class CompletePublication {
        @Test
        void returnsTheDocument() {
            Document document = document(1, "a", "b");
            mSource.publish(document);

            assertThat(mReader.read(Document.EMPTY).join().orElseThrow().version())
                    .isEqualTo(document.version());
        }

        /** Guards against reading parts that the node already has. */
        @Test
        void readsOnlyTheMissingParts() {
            Document known = document(1, "a", "b");
            mSource.publish(document(2, "a", "c"));

            mReader.read(known).join();

            assertThat(mSource.mPartReads).hasSize(1);
        }
    }

    @Nested
    class IncompleteOrInvalidPublication {
        /** Guards against activating a version of which only some parts are published yet. */
        @Test
        void failsWhileAPartIsMissingAndSucceedsOnceItIsPublished() {
            Document document = document(1, "a", "b");
            mSource.publish(document);
            String key = FakeSource.keyOf(document.manifest().getParts(1));
            SourceValue part = mSource.mValues.remove(key);

            assertThatThrownBy(() -> mReader.watch(Document.EMPTY, TIMEOUT).join())
                    .hasCauseInstanceOf(FoxtailmoorException.class)
                    .hasMessageContaining("service/saldo");

            mSource.mValues.put(key, part);
            assertThat(mReader.watch(Document.EMPTY, TIMEOUT).join()).isPresent();
        }

        /** Guards against accepting a part whose content does not match the manifest. */
        @Test
        void failsOnADigestMismatch() {
            Document document = document(1, "a", "b");
            mSource.publish(document);
            String key = FakeSource.keyOf(document.manifest().getParts(0));
            mSource.mValues.put(key, new SourceValue(9, ByteString.copyFromUtf8("x")));

            assertThatThrownBy(() -> mReader.read(Document.EMPTY).join())
                    .hasMessageContaining("does not match its digest");
        }

        /**
         * Guards against an invalid manifest that ends reading for good; it must only fail the
         * read.
         */
        @Test
        void failsOnAnInvalidManifest() {
            ByteString invalidManifest = ByteString.copyFromUtf8("\uffff noise");
            mSource.mValues.put(
                    PublishedCatalogueReader.MANIFEST_KEY, new SourceValue(1, invalidManifest));

            assertThatThrownBy(() -> mReader.read(Document.EMPTY).join())
                    .hasMessageContaining("manifest");
        }
    }

    private static final class FakeSource implements ConfigurationSource {
        private final Map<String, SourceValue> mValues = new HashMap<>();
        private final List<String> mPartReads = new ArrayList<>();
        private long mRevision;

        void publish(Document document) {
            for (PartReference part : document.manifest().getPartsList()) {
                put(keyOf(part), document.contents().get(part.getName()));
            }
            put(PublishedCatalogueReader.MANIFEST_KEY, document.manifest().toByteString());
        }

        static String keyOf(PartReference part) {
            return PublishedCatalogueReader.PART_KEY_PREFIX
                    + HexFormat.of().formatHex(part.getDigest().toByteArray());
        }

        @Override
        public CompletableFuture<Optional<SourceValue>> read(String key) {
            if (key.startsWith(PublishedCatalogueReader.PART_KEY_PREFIX)) {
                mPartReads.add(key);
            }
            return CompletableFuture.completedFuture(Optional.ofNullable(mValues.get(key)));
        }

        @Override
        public CompletableFuture<Optional<SourceValue>> watch(
                String key, long afterRevision, Duration timeout) {
            return read(key).thenApply(value -> value.filter(it -> it.revision() > afterRevision));
        }

        private void put(String key, ByteString content) {
            mRevision++;
            mValues.put(key, new SourceValue(mRevision, content));
        }
    }
}
