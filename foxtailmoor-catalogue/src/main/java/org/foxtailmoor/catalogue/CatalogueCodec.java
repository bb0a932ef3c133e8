package org.foxtailmoor.catalogue;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.base.FoxtailmoorException;
import org.foxtailmoor.protocol.Document;
import org.foxtailmoor.protocol.generated.CataloguePart;
import org.foxtailmoor.protocol.generated.Entry;

/**
 * Converts between catalogue entries and the parts of a published document.
 *
 * <p>The encoding is deterministic: it does not depend on the order of the entries.
 *
 * <pre>{@code
 * Document document = CatalogueCodec.toDocument(12, entries);
 * CatalogueSnapshot snapshot = CatalogueCodec.toSnapshot(document);
 * }</pre>
 */
public final class CatalogueCodec {
    /** Name of the part that holds every entry other than services and routes. */
    public static final String GLOBAL_PART = "global";

    /** Prefix of the name of a service's part, followed by the id of the service. */
    public static final String SERVICE_PART_PREFIX = "service/";

    private static final Comparator<Entry> ORDER =
            Comparator.comparing(Entry::getId)
                    .thenComparing(entry -> entry.getBodyCase().getNumber())
                    .thenComparing(
                            Entry::toByteString, ByteString.unsignedLexicographicalComparator());

    private CatalogueCodec() {}

    /**
     * Returns a document with the part {@code global} and one part {@code service/<id>} for each
     * service that an entry defines or names. Entries are not checked.
     *
     * @param number version number, as unsigned
     * @param entries entries in any order, not null
     */
    public static Document toDocument(long number, Collection<Entry> entries) {
        SortedMap<String, CataloguePart.Builder> parts = new TreeMap<>();
        parts.put(GLOBAL_PART, CataloguePart.newBuilder());
        List<Entry> sorted = new ArrayList<>(entries);
        sorted.sort(ORDER);
        for (Entry entry : sorted) {
            parts.computeIfAbsent(partOf(entry), name -> CataloguePart.newBuilder())
                    .addEntries(entry);
        }
        SortedMap<String, ByteString> contents = new TreeMap<>();
        parts.forEach((name, part) -> contents.put(name, part.build().toByteString()));
        return Document.of(number, contents);
    }

    /**
     * Returns the entries of a document as a snapshot with the document's version. Entries are not
     * checked, see {@link CatalogueChecker}.
     *
     * @param document catalogue document, not null
     * @throws FoxtailmoorException of kind CATALOGUE_INVALID if a part can't be decoded
     */
    public static CatalogueSnapshot toSnapshot(Document document) {
        return CatalogueSnapshot.of(document.version(), toEntries(document));
    }

    /**
     * Returns the entries of every part of a document, part by part.
     *
     * @param document catalogue document, not null
     * @throws FoxtailmoorException of kind CATALOGUE_INVALID if a part can't be decoded
     */
    public static List<Entry> toEntries(Document document) {
        List<Entry> entries = new ArrayList<>();
        for (Map.Entry<String, ByteString> part : document.contents().entrySet()) {
            entries.addAll(decode(part.getKey(), part.getValue()));
        }
        return entries;
    }

    /** Returns the name of the part that an entry belongs to. */
    public static String partOf(Entry entry) {
        if (entry.hasServiceEntry()) {
            return SERVICE_PART_PREFIX + entry.getId();
        }
        if (entry.hasRouteEntry()) {
            return SERVICE_PART_PREFIX + entry.getRouteEntry().getServiceId();
        }
        return GLOBAL_PART;
    }

    /**
     * Returns the entries of one part.
     *
     * @param name name of the part for error messages
     * @param content bytes of the part, not null
     * @throws FoxtailmoorException of kind CATALOGUE_INVALID if the part can't be decoded
     */
    static List<Entry> decode(String name, ByteString content) {
        try {
            return CataloguePart.parseFrom(content).getEntriesList();
        } catch (InvalidProtocolBufferException e) {
            throw FoxtailmoorException.of(
                    ErrorKind.CATALOGUE_INVALID,
                    "part " + name + " cannot be decoded: " + e.getMessage(),
                    e);
        }
    }
}
