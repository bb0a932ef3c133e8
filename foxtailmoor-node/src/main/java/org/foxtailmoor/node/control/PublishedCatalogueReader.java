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
 * Reads the catalogue: the manifest first, then the parts that the node lacks. The result is whole
 * and agrees with its manifest, or the read fails.
 */
final class PublishedCatalogueReader implements DocumentReader {
    /** Key of the manifest at the configuration service. */
    static final String MANIFEST_KEY = "catalogue/manifest";

    /** Start of the key of each part; its digest in hexadecimal follows. */
    static final String PART_KEY_PREFIX = "catalogue/part/";

    private final ConfigurationSource mSource;
    private long mRevision;

    PublishedCatalogueReader(ConfigurationSource source) {
        mSource = source;
    }

    @Override
    public CompletableFuture<Optional<Document>> read(Document known) {
        return mSource.read(MANIFEST_KEY).thenCompose(value -> complete(known, value));
    }

    @Override
    public CompletableFuture<Optional<Document>> watch(Document known, Duration timeout) {
        return mSource.watch(MANIFEST_KEY, mRevision, timeout)
                .thenCompose(value -> complete(known, value));
    }

    private CompletableFuture<Optional<Document>> complete(
            Document known, Optional<SourceValue> value) {
        if (value.isEmpty()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        Manifest manifest = parse(value.get().content());
        return readParts(known, manifest)
                .thenApply(
                        contents -> {
                            Document document = assemble(manifest, contents);
                            // The revision advances only with a whole document, so that a watch
                            // returns a half-published one again.
                            mRevision = value.get().revision();
                            return Optional.of(document);
                        });
    }

    private CompletableFuture<SortedMap<String, ByteString>> readParts(
            Document known, Manifest manifest) {
        Map<ByteString, ByteString> knownByDigest = contentsByDigest(known);
        SortedMap<String, ByteString> contents = new TreeMap<>();
        CompletableFuture<Void> all = CompletableFuture.completedFuture(null);
        for (PartReference part : manifest.getPartsList()) {
            ByteString held = knownByDigest.get(part.getDigest());
            if (held != null) {
                contents.put(part.getName(), held);
            } else {
                all =
                        all.thenCompose(ignored -> readPart(part))
                                .thenAccept(content -> contents.put(part.getName(), content));
            }
        }
        return all.thenApply(ignored -> contents);
    }

    private CompletableFuture<ByteString> readPart(PartReference part) {
        String key = PART_KEY_PREFIX + HexFormat.of().formatHex(part.getDigest().toByteArray());
        return mSource.read(key)
                .thenApply(
                        value -> {
                            if (value.isEmpty()) {
                                throw incomplete("part " + part.getName() + " is not published");
                            }
                            ByteString content = value.get().content();
                            if (!DocumentVersions.digestOf(content).equals(part.getDigest())) {
                                throw incomplete("part " + part.getName() + " has another digest");
                            }
                            return content;
                        });
    }

    private static Document assemble(Manifest manifest, SortedMap<String, ByteString> contents) {
        Document document = Document.of(manifest.getNumber(), contents);
        if (!document.version().equals(DocumentVersions.of(manifest))) {
            throw incomplete("the parts do not agree with the manifest");
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

    private static Manifest parse(ByteString content) {
        try {
            return Manifest.parseFrom(content);
        } catch (InvalidProtocolBufferException e) {
            throw FoxtailmoorException.of(
                    ErrorKind.CATALOGUE_INVALID, "the published manifest can't be read", e);
        }
    }

    private static FoxtailmoorException incomplete(String reason) {
        return FoxtailmoorException.of(
                ErrorKind.CATALOGUE_INVALID, "the published catalogue is incomplete: " + reason);
    }
}
