package org.foxtailmoor.catalogue;

import java.util.Collection;
import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.foxtailmoor.protocol.DocumentVersions;
import org.foxtailmoor.protocol.generated.ClassEntry;
import org.foxtailmoor.protocol.generated.DocumentVersion;
import org.foxtailmoor.protocol.generated.Entry;
import org.foxtailmoor.protocol.generated.LimitEntry;
import org.foxtailmoor.protocol.generated.OwnerEntry;
import org.foxtailmoor.protocol.generated.RegionEntry;
import org.foxtailmoor.protocol.generated.RetryEntry;
import org.foxtailmoor.protocol.generated.RouteEntry;
import org.foxtailmoor.protocol.generated.ServiceEntry;

/**
 * All entries of one catalogue version, by type and id.
 *
 * <p>Immutable. A snapshot does not check its entries.
 */
public final class CatalogueSnapshot {
    /** Snapshot without entries. */
    public static final CatalogueSnapshot EMPTY =
            of(DocumentVersions.NONE, Collections.emptyList());

    private final DocumentVersion mVersion;
    private final SortedMap<String, Definition<OwnerEntry>> mOwners = new TreeMap<>();
    private final SortedMap<String, Definition<ClassEntry>> mClasses = new TreeMap<>();
    private final SortedMap<String, Definition<RegionEntry>> mRegions = new TreeMap<>();
    private final SortedMap<String, Definition<ServiceEntry>> mServices = new TreeMap<>();
    private final SortedMap<String, Definition<RouteEntry>> mRoutes = new TreeMap<>();
    private final SortedMap<String, Definition<LimitEntry>> mLimits = new TreeMap<>();
    private final SortedMap<String, Definition<RetryEntry>> mRetries = new TreeMap<>();

    private CatalogueSnapshot(DocumentVersion version, Collection<Entry> entries) {
        mVersion = version;
        entries.forEach(this::add);
    }

    /**
     * Creates a snapshot. If several entries have the same type and id, the last one is kept.
     *
     * @param version version of the catalogue, not null
     * @param entries entries in any order, not null
     */
    public static CatalogueSnapshot of(DocumentVersion version, Collection<Entry> entries) {
        return new CatalogueSnapshot(version, entries);
    }

    /** Returns the version of the catalogue. */
    public DocumentVersion version() {
        return mVersion;
    }

    /** Returns the owners by id, unmodifiable. */
    public SortedMap<String, Definition<OwnerEntry>> owners() {
        return Collections.unmodifiableSortedMap(mOwners);
    }

    /** Returns the classes by id, unmodifiable. */
    public SortedMap<String, Definition<ClassEntry>> classes() {
        return Collections.unmodifiableSortedMap(mClasses);
    }

    /** Returns the regions by id, unmodifiable. */
    public SortedMap<String, Definition<RegionEntry>> regions() {
        return Collections.unmodifiableSortedMap(mRegions);
    }

    /** Returns the services by id, unmodifiable. */
    public SortedMap<String, Definition<ServiceEntry>> services() {
        return Collections.unmodifiableSortedMap(mServices);
    }

    /** Returns the routes by id, unmodifiable. */
    public SortedMap<String, Definition<RouteEntry>> routes() {
        return Collections.unmodifiableSortedMap(mRoutes);
    }

    /** Returns the limits by id, unmodifiable. */
    public SortedMap<String, Definition<LimitEntry>> limits() {
        return Collections.unmodifiableSortedMap(mLimits);
    }

    /** Returns the retry policies by id, unmodifiable. */
    public SortedMap<String, Definition<RetryEntry>> retries() {
        return Collections.unmodifiableSortedMap(mRetries);
    }

    /** Returns the region that a zone belongs to, or an empty string for an unknown zone. */
    public String regionOfZone(String zone) {
        for (Map.Entry<String, Definition<RegionEntry>> region : mRegions.entrySet()) {
            if (region.getValue().body().getZonesList().contains(zone)) {
                return region.getKey();
            }
        }
        return "";
    }

    private void add(Entry entry) {
        switch (entry.getBodyCase()) {
            case OWNER_ENTRY -> add(mOwners, entry, entry.getOwnerEntry());
            case CLASS_ENTRY -> add(mClasses, entry, entry.getClassEntry());
            case REGION_ENTRY -> add(mRegions, entry, entry.getRegionEntry());
            case SERVICE_ENTRY -> add(mServices, entry, entry.getServiceEntry());
            case ROUTE_ENTRY -> add(mRoutes, entry, entry.getRouteEntry());
            case LIMIT_ENTRY -> add(mLimits, entry, entry.getLimitEntry());
            case RETRY_ENTRY -> add(mRetries, entry, entry.getRetryEntry());
            default -> {
                // An entry of a type that a newer release has added.
            }
        }
    }

    private static <T> void add(SortedMap<String, Definition<T>> definitions, Entry entry, T body) {
        definitions.put(
                entry.getId(),
                new Definition<>(entry.getId(), entry.getOwner(), entry.getClassId(), body));
    }
}
