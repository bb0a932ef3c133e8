package org.foxtailmoor.core.distribution;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import org.foxtailmoor.protocol.Document;
import org.foxtailmoor.protocol.generated.CataloguePart;
import org.foxtailmoor.protocol.generated.Entry;

/**
 * Regions from the catalogue that the distribution depends on.
 *
 * @param sourceRegion region that holds the source, empty if unknown
 * @param homeRegion home region of the node's own service, empty if unknown
 */
record CatalogueRegions(String sourceRegion, String homeRegion) {
    static final CatalogueRegions NONE = new CatalogueRegions("", "");

    private static final String GLOBAL_PART = "global";
    private static final String SERVICE_PREFIX = "service/";

    /** Reads the regions from a catalogue; a missing one is empty. */
    static CatalogueRegions of(Document catalogue, String serviceId) {
        String sourceRegion = "";
        for (Entry entry : entries(catalogue, GLOBAL_PART)) {
            if (entry.hasRegionEntry() && entry.getRegionEntry().getHoldsSource()) {
                sourceRegion = entry.getId();
            }
        }
        String homeRegion = "";
        for (Entry entry : entries(catalogue, SERVICE_PREFIX + serviceId)) {
            if (entry.hasServiceEntry() && entry.getId().equals(serviceId)) {
                homeRegion = entry.getServiceEntry().getHomeRegion();
            }
        }
        return new CatalogueRegions(sourceRegion, homeRegion);
    }

    private static List<Entry> entries(Document catalogue, String part) {
        ByteString content = catalogue.contents().get(part);
        if (content == null) {
            return List.of();
        }
        try {
            return CataloguePart.parseFrom(content).getEntriesList();
        } catch (InvalidProtocolBufferException e) {
            // Unreachable in practice: DocumentListener.check refuses a catalogue that cannot be
            // parsed.
            return List.of();
        }
    }
}
