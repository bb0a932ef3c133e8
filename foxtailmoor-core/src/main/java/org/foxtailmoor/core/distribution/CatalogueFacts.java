package org.foxtailmoor.core.distribution;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import org.foxtailmoor.protocol.Document;
import org.foxtailmoor.protocol.generated.CataloguePart;
import org.foxtailmoor.protocol.generated.Entry;

/**
 * What the distribution itself needs from the catalogue.
 *
 * @param sourceRegion region that holds the source, empty if unknown
 * @param homeRegion home region of the node's own service, empty if unknown
 */
record CatalogueFacts(String sourceRegion, String homeRegion) {
    static final CatalogueFacts NONE = new CatalogueFacts("", "");

    private static final String GLOBAL_PART = "global";
    private static final String SERVICE_PREFIX = "service/";

    /** Reads the facts from a catalogue; what it does not state is empty. */
    static CatalogueFacts of(Document catalogue, String serviceId) {
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
        return new CatalogueFacts(sourceRegion, homeRegion);
    }

    private static List<Entry> entries(Document catalogue, String part) {
        ByteString content = catalogue.contents().get(part);
        if (content == null) {
            return List.of();
        }
        try {
            return CataloguePart.parseFrom(content).getEntriesList();
        } catch (InvalidProtocolBufferException e) {
            // The listener's check refuses such a catalogue before it gets here.
            return List.of();
        }
    }
}
