package org.foxtailmoor.catalogue;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.base.FoxtailmoorException;
import org.foxtailmoor.protocol.Document;
import org.foxtailmoor.protocol.DocumentVersions;
import org.foxtailmoor.protocol.generated.Manifest;
import org.foxtailmoor.protocol.generated.PartReference;

/**
 * Writes and reads the values of a catalogue as files whose paths are the keys at the configuration
 * service.
 */
public final class PublishedValues {
    /** Key of the manifest. */
    public static final String MANIFEST_KEY = "catalogue/manifest";

    /** Prefix of the key of a part, followed by its digest in hexadecimal. */
    public static final String PART_KEY_PREFIX = "catalogue/part/";

    private PublishedValues() {}

    /** Returns the key of a part. */
    public static String keyOf(PartReference part) {
        return PART_KEY_PREFIX + HexFormat.of().formatHex(part.getDigest().toByteArray());
    }

    /**
     * Writes the parts of a document and then its manifest, so that a manifest never names a
     * missing part. Files of other versions are kept.
     *
     * @param directory directory, created if absent
     * @param document document, not null
     * @return number of parts that the directory did not have
     * @throws FoxtailmoorException of kind INTERNAL if a file can't be written
     */
    public static int write(Path directory, Document document) {
        try {
            int added = 0;
            for (PartReference part : document.manifest().getPartsList()) {
                Path path = directory.resolve(keyOf(part));
                added += Files.exists(path) ? 0 : 1;
                replace(path, document.contents().get(part.getName()));
            }
            replace(directory.resolve(MANIFEST_KEY), document.manifest().toByteString());
            return added;
        } catch (IOException e) {
            throw FoxtailmoorException.of(
                    ErrorKind.INTERNAL, "cannot write to " + directory + ": " + e, e);
        }
    }

    /**
     * Reads a document and verifies the digest of each part.
     *
     * @param directory directory with the values, not null
     * @throws FoxtailmoorException of kind CATALOGUE_INVALID that names every part that is absent
     *     or altered, or if the manifest can't be read
     */
    public static Document read(Path directory) {
        Manifest manifest = readManifest(directory);
        List<String> faults = new ArrayList<>();
        SortedMap<String, ByteString> contents = new TreeMap<>();
        for (PartReference part : manifest.getPartsList()) {
            Path path = directory.resolve(keyOf(part));
            try {
                ByteString content = ByteString.copyFrom(Files.readAllBytes(path));
                if (!DocumentVersions.digestOf(content).equals(part.getDigest())) {
                    faults.add("part " + part.getName() + ": content differs from its digest");
                }
                contents.put(part.getName(), content);
            } catch (IOException e) {
                faults.add("part " + part.getName() + ": cannot read " + path);
            }
        }
        Document document = Document.of(manifest.getNumber(), contents);
        if (faults.isEmpty() && !document.manifest().equals(manifest)) {
            faults.add("manifest: parts are not sorted by name, or a size is wrong");
        }
        if (!faults.isEmpty()) {
            throw FoxtailmoorException.of(
                    ErrorKind.CATALOGUE_INVALID,
                    directory + " has faults:\n  " + String.join("\n  ", faults));
        }
        return document;
    }

    /**
     * Reads only the manifest.
     *
     * @param directory directory with the values, not null
     * @throws FoxtailmoorException of kind CATALOGUE_INVALID if it can't be read or decoded
     */
    public static Manifest readManifest(Path directory) {
        Path path = directory.resolve(MANIFEST_KEY);
        try {
            return Manifest.parseFrom(Files.readAllBytes(path));
        } catch (InvalidProtocolBufferException e) {
            throw FoxtailmoorException.of(
                    ErrorKind.CATALOGUE_INVALID, path + " is not a manifest: " + e.getMessage(), e);
        } catch (IOException e) {
            throw FoxtailmoorException.of(
                    ErrorKind.CATALOGUE_INVALID, "cannot read manifest " + path, e);
        }
    }

    /** Replaces a file atomically, so that a reader never sees a partial file. */
    private static void replace(Path path, ByteString content) throws IOException {
        Files.createDirectories(path.getParent());
        Path temporary = path.resolveSibling(path.getFileName() + ".new");
        Files.write(temporary, content.toByteArray());
        Files.move(
                temporary,
                path,
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
    }
}
