package org.foxtailmoor.node.control;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.base.FoxtailmoorException;
import org.foxtailmoor.core.source.ConfigurationSource;
import org.foxtailmoor.core.source.SourceValue;
import org.foxtailmoor.protocol.Document;
import org.foxtailmoor.protocol.DocumentVersions;
import org.foxtailmoor.protocol.generated.Manifest;
import org.foxtailmoor.protocol.generated.PartReference;

/**
 * Reads the published catalogue: first the manifest, then the parts that the node does not have. A
 * read returns a complete document that matches its manifest, or it fails.
 */
final class PublishedCatalogueReader implements DocumentReader {
    /** Key of the manifest in the configuration service. */
    static final String MANIFEST_KEY = "catalogue/manifest";

    /** Prefix of the key of each part, followed by the digest of the part in hexadecimal. */
    static final String PART_KEY_PREFIX = "catalogue/part/";

    private final ConfigurationSource mSource;
    private long mLastRevision;

    PublishedCatalogueReader(ConfigurationSource source) {
        mSource = source;
    }

    @Override
    public CompletableFuture<Optional<Document>> read(Document known) {
        return mSource.read(MANIFEST_KEY).thenCompose(value -> readDocument(known, value));
    }

    @Override
    public CompletableFuture<Optional<Document>> watch(Document known, Duration timeout) {
        return mSource.watch(MANIFEST_KEY, mLastRevision, timeout)
                .thenCompose(value -> readDocument(known, value));
    }

    private CompletableFuture<Optional<Document>> readDocument(
            Document known, Optional<SourceValue> value) {
        if (value.isEmpty()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        Manifest manifest = parseManifest(value.get().content());
        return readParts(known, manifest)
                .thenApply(
                        contents -> {
                            Document document = assemble(manifest, contents);
                            // The revision advances only with a complete document, so that a watch
                            // returns a partially published version again.
                            mLastRevision = value.get().revision();
                            return Optional.of(document);
                        });
    }

    private CompletableFuture<SortedMap<String, ByteString>> readParts(
            Document known, Manifest manifest) {
        Map<ByteString, ByteString> knownByDigest = contentsByDigest(known);
        SortedMap<String, ByteString> contents = new TreeMap<>();
        CompletableFuture<Void> reads = CompletableFuture.completedFuture(null);
        for (PartReference part : manifest.getPartsList()) {
            ByteString knownContent = knownByDigest.get(part.getDigest());
            if (knownContent != null) {
                contents.put(part.getName(), knownContent);
            } else {
                reads =
                        reads.thenCompose(ignored -> readPart(part))
                                .thenAccept(content -> contents.put(part.getName(), content));
            }
        }
        return reads.thenApply(ignored -> contents);
    }

    private CompletableFuture<ByteString> readPart(PartReference part) {
        String key = PART_KEY_PREFIX + HexFormat.of().formatHex(part.getDigest().toByteArray());
        return mSource.read(key)
                .thenApply(
                        value -> {
                            if (value.isEmpty()) {
                                throw invalid("part " + part.getName() + " is not published");
                            }
                            ByteString content = value.get().content();
                            if (!DocumentVersions.digestOf(content).equals(part.getDigest())) {
                                throw invalid(
                                        "part " + part.getName() + " does not match its digest");
                            }
                            return content;
                        });
    }

    private static Document assemble(Manifest manifest, SortedMap<String, ByteString> contents) {
        Document document = Document.of(manifest.getNumber(), contents);
        if (!document.version().equals(DocumentVersions.of(manifest))) {
            throw invalid("the parts do not match the version of the manifest");
        }
        return document;
    }

    private static Map<ByteString, ByteString> contentsByDigest(Document known) {
        Map<ByteString, ByteString> contents = new HashMap<>();
        for (PartReference part : known.manifest().getPartsList()) {
            contents.put(part.getDigest(), known.contents().get(part.getName()));
        }
        return contents;
    }

    private static Manifest parseManifest(ByteString content) {
        try {
            return Manifest.parseFrom(content);
        } catch (InvalidProtocolBufferException e) {
            throw FoxtailmoorException.of(
                    ErrorKind.CATALOGUE_INVALID, "the published manifest cannot be parsed", e);
        }
    }

    private static FoxtailmoorException invalid(String reason) {
        return FoxtailmoorException.of(
                ErrorKind.CATALOGUE_INVALID,
                "the published catalogue is incomplete or inconsistent: " + reason);
    }
}
