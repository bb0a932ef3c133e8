package org.foxtailmoor.catalogue;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.foxtailmoor.base.FoxtailmoorException;
import org.foxtailmoor.protocol.Document;
import org.foxtailmoor.protocol.generated.Entry;
import org.foxtailmoor.protocol.generated.RouteEntry;

/**
 * Checks a catalogue as a whole and reports every fault, not only the first.
 *
 * <pre>{@code
 * List<CatalogueFault> faults = CatalogueChecker.check(entries);
 * }</pre>
 */
public final class CatalogueChecker {
    /** Maximum size of a value in the configuration service, in bytes. */
    public static final int MAXIMUM_VALUE_BYTES = 1_000_000;

    private static final String ANY_METHOD = "*";

    private final Collection<Entry> mEntries;
    private final List<CatalogueFault> mFaults = new ArrayList<>();

    private CatalogueChecker(Collection<Entry> entries) {
        mEntries = entries;
    }

    /**
     * Checks entries and the sizes of the parts that would be published.
     *
     * @param entries entries in any order, not null
     * @return all faults, empty for a valid catalogue
     */
    public static List<CatalogueFault> check(Collection<Entry> entries) {
        CatalogueChecker checker = new CatalogueChecker(entries);
        checker.checkEntries();
        checker.checkParts(CatalogueCodec.toDocument(0, entries));
        return checker.mFaults;
    }

    /**
     * Checks a published document: its parts, that each entry is in the right part, and the
     * entries.
     *
     * @param document catalogue document, not null
     * @return all faults, empty for a valid catalogue; a part that can't be decoded is a fault, and
     *     its entries are treated as absent
     */
    public static List<CatalogueFault> check(Document document) {
        List<Entry> entries = new ArrayList<>();
        List<CatalogueFault> partFaults = new ArrayList<>();
        document.contents().forEach((name, content) -> decode(name, content, entries, partFaults));
        CatalogueChecker checker = new CatalogueChecker(entries);
        checker.mFaults.addAll(partFaults);
        checker.checkParts(document);
        checker.checkEntries();
        return checker.mFaults;
    }

    private static void decode(
            String name, ByteString content, List<Entry> entries, List<CatalogueFault> faults) {
        List<Entry> decoded;
        try {
            decoded = CatalogueCodec.decode(name, content);
        } catch (FoxtailmoorException e) {
            faults.add(CatalogueFault.ofPart(name, "", e.getMessage()));
            return;
        }
        entries.addAll(decoded);
        for (Entry entry : decoded) {
            String expected = CatalogueCodec.partOf(entry);
            if (!expected.equals(name)) {
                faults.add(
                        CatalogueFault.of(
                                entry, "", "is in part " + name + ", must be in " + expected));
            }
        }
    }

    private void checkParts(Document document) {
        if (!document.contents().containsKey(CatalogueCodec.GLOBAL_PART)) {
            mFaults.add(CatalogueFault.ofPart(CatalogueCodec.GLOBAL_PART, "", "is missing"));
        }
        document.contents().forEach((name, content) -> checkSize(name, content.size()));
        int manifestBytes = document.manifest().getSerializedSize();
        if (manifestBytes > MAXIMUM_VALUE_BYTES) {
            mFaults.add(CatalogueFault.ofCatalogue("manifest: " + tooLargeMessage(manifestBytes)));
        }
    }

    private void checkSize(String part, int bytes) {
        if (bytes == 0) {
            mFaults.add(CatalogueFault.ofPart(part, ownerOfPart(part), "has no entries"));
        } else if (bytes > MAXIMUM_VALUE_BYTES) {
            mFaults.add(CatalogueFault.ofPart(part, ownerOfPart(part), tooLargeMessage(bytes)));
        }
    }

    private static String tooLargeMessage(int bytes) {
        return bytes + " bytes, the configuration service holds at most " + MAXIMUM_VALUE_BYTES;
    }

    private String ownerOfPart(String part) {
        for (Entry entry : mEntries) {
            if (entry.hasServiceEntry() && CatalogueCodec.partOf(entry).equals(part)) {
                return entry.getOwner();
            }
        }
        return "";
    }

    private void checkEntries() {
        EntryChecker.check(mEntries, mFaults);
        checkDuplicateIds();
        checkZones();
        checkSourceRegion();
        checkRouteOverlaps();
    }

    private void checkDuplicateIds() {
        record Key(Entry.BodyCase type, String id) {}
        Map<Key, Integer> counts = new HashMap<>();
        for (Entry entry : mEntries) {
            int count = counts.merge(new Key(entry.getBodyCase(), entry.getId()), 1, Integer::sum);
            if (count > 1) {
                addFault(entry, "id", "entry " + count + " of this type with the same id");
            }
        }
    }

    private void checkZones() {
        Map<String, String> regionByZone = new HashMap<>();
        for (Entry entry : mEntries) {
            for (String zone : entry.getRegionEntry().getZonesList()) {
                String other = regionByZone.putIfAbsent(zone, entry.getId());
                if (other != null) {
                    addFault(entry, "zones", "zone " + zone + " is already in region " + other);
                }
            }
        }
    }

    private void checkSourceRegion() {
        List<Entry> sources = new ArrayList<>();
        for (Entry entry : mEntries) {
            if (entry.getRegionEntry().getHoldsSource()) {
                sources.add(entry);
            }
        }
        if (sources.isEmpty()) {
            mFaults.add(CatalogueFault.ofCatalogue("no region has holds_source = true"));
        }
        if (sources.size() > 1) {
            for (Entry entry : sources) {
                addFault(
                        entry,
                        "holds_source",
                        "true in " + sources.size() + " regions, must be in 1");
            }
        }
    }

    private void checkRouteOverlaps() {
        Map<String, List<Entry>> routesByPrefix = new TreeMap<>();
        for (Entry entry : mEntries) {
            if (entry.hasRouteEntry()) {
                String prefix = stripTrailingSlash(entry.getRouteEntry().getPathPrefix());
                routesByPrefix.computeIfAbsent(prefix, key -> new ArrayList<>()).add(entry);
            }
        }
        routesByPrefix.values().forEach(this::checkOverlapsOfPrefix);
    }

    private void checkOverlapsOfPrefix(List<Entry> routes) {
        for (int later = 1; later < routes.size(); later++) {
            for (int earlier = 0; earlier < later; earlier++) {
                Entry route = routes.get(later);
                Entry other = routes.get(earlier);
                if (overlaps(route.getRouteEntry(), other.getRouteEntry())) {
                    addFault(route, "path_prefix", "ambiguous overlap with route " + other.getId());
                }
            }
        }
    }

    private static boolean overlaps(RouteEntry first, RouteEntry second) {
        return first.getMethod().equals(second.getMethod())
                || first.getMethod().equals(ANY_METHOD)
                || second.getMethod().equals(ANY_METHOD);
    }

    private static String stripTrailingSlash(String prefix) {
        return prefix.endsWith("/") ? prefix.substring(0, prefix.length() - 1) : prefix;
    }

    private void addFault(Entry entry, String field, String message) {
        mFaults.add(CatalogueFault.of(entry, field, message));
    }
}
