package org.foxtailmoor.catalogue;

import java.util.Collection;
import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Function;
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
    private final SortedMap<String, Definition<OwnerEntry>> mOwners;
    private final SortedMap<String, Definition<ClassEntry>> mClasses;
    private final SortedMap<String, Definition<RegionEntry>> mRegions;
    private final SortedMap<String, Definition<ServiceEntry>> mServices;
    private final SortedMap<String, Definition<RouteEntry>> mRoutes;
    private final SortedMap<String, Definition<LimitEntry>> mLimits;
    private final SortedMap<String, Definition<RetryEntry>> mRetries;

    private CatalogueSnapshot(DocumentVersion version, Collection<Entry> entries) {
        mVersion = version;
        mOwners = index(entries, Entry::hasOwnerEntry, Entry::getOwnerEntry);
        mClasses = index(entries, Entry::hasClassEntry, Entry::getClassEntry);
        mRegions = index(entries, Entry::hasRegionEntry, Entry::getRegionEntry);
        mServices = index(entries, Entry::hasServiceEntry, Entry::getServiceEntry);
        mRoutes = index(entries, Entry::hasRouteEntry, Entry::getRouteEntry);
        mLimits = index(entries, Entry::hasLimitEntry, Entry::getLimitEntry);
        mRetries = index(entries, Entry::hasRetryEntry, Entry::getRetryEntry);
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
        return mOwners;
    }

    /** Returns the classes by id, unmodifiable. */
    public SortedMap<String, Definition<ClassEntry>> classes() {
        return mClasses;
    }

    /** Returns the regions by id, unmodifiable. */
    public SortedMap<String, Definition<RegionEntry>> regions() {
        return mRegions;
    }

    /** Returns the services by id, unmodifiable. */
    public SortedMap<String, Definition<ServiceEntry>> services() {
        return mServices;
    }

    /** Returns the routes by id, unmodifiable. */
    public SortedMap<String, Definition<RouteEntry>> routes() {
        return mRoutes;
    }

    /** Returns the limits by id, unmodifiable. */
    public SortedMap<String, Definition<LimitEntry>> limits() {
        return mLimits;
    }

    /** Returns the retry policies by id, unmodifiable. */
    public SortedMap<String, Definition<RetryEntry>> retries() {
        return mRetries;
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

    private static <T> SortedMap<String, Definition<T>> index(
            Collection<Entry> entries, Function<Entry, Boolean> filter, Function<Entry, T> body) {
        SortedMap<String, Definition<T>> index = new TreeMap<>();
        for (Entry entry : entries) {
            if (filter.apply(entry)) {
                Definition<T> definition =
                        new Definition<>(
                                entry.getId(),
                                entry.getOwner(),
                                entry.getClassId(),
                                body.apply(entry));
                index.put(entry.getId(), definition);
            }
        }
        return Collections.unmodifiableSortedMap(index);
    }
}
