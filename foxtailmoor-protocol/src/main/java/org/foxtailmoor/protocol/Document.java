package org.foxtailmoor.protocol;

import com.google.protobuf.ByteString;
import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;
import org.foxtailmoor.protocol.generated.DocumentVersion;
import org.foxtailmoor.protocol.generated.Manifest;
import org.foxtailmoor.protocol.generated.PartReference;

/**
 * One complete version of a published document: its manifest and the content of each part by name.
 *
 * <p>Immutable. The version is computed from the number and the digests of the parts, so that equal
 * versions have equal content.
 */
public final class Document {
    /** Document without parts, with a version lower than every published one. */
    public static final Document EMPTY =
            new Document(Manifest.getDefaultInstance(), DocumentVersions.NONE, new TreeMap<>());

    private final Manifest mManifest;
    private final DocumentVersion mVersion;
    private final SortedMap<String, ByteString> mContents;

    private Document(
            Manifest manifest, DocumentVersion version, SortedMap<String, ByteString> contents) {
        mManifest = manifest;
        mVersion = version;
        mContents = Collections.unmodifiableSortedMap(contents);
    }

    /**
     * Creates a document.
     *
     * @param number version number, as unsigned
     * @param contents content of each part by name, not null; copied
     */
    public static Document of(long number, SortedMap<String, ByteString> contents) {
        Manifest.Builder manifest = Manifest.newBuilder().setNumber(number);
        contents.forEach((name, content) -> manifest.addParts(referenceOf(name, content)));
        Manifest built = manifest.build();
        return new Document(built, DocumentVersions.of(built), new TreeMap<>(contents));
    }

    /** Returns the reference of a part: its name, digest and size. */
    public static PartReference referenceOf(String name, ByteString content) {
        return PartReference.newBuilder()
                .setName(name)
                .setDigest(DocumentVersions.digestOf(content))
                .setSize(content.size())
                .build();
    }

    /** Returns the manifest, with parts sorted by name. */
    public Manifest manifest() {
        return mManifest;
    }

    /** Returns the version, {@link DocumentVersions#NONE} only for {@link #EMPTY}. */
    public DocumentVersion version() {
        return mVersion;
    }

    /** Returns the content of each part by name, unmodifiable. */
    public SortedMap<String, ByteString> contents() {
        return mContents;
    }
}
