package org.foxtailmoor.core.distribution;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import org.foxtailmoor.protocol.Document;
import org.foxtailmoor.protocol.generated.CataloguePart;
import org.foxtailmoor.protocol.generated.Entry;
import org.foxtailmoor.protocol.generated.Instance;
import org.foxtailmoor.protocol.generated.RegionEntry;
import org.foxtailmoor.protocol.generated.ServiceEntry;

/** Instances and catalogues for tests. The region of the source is {@link #SOURCE_REGION}. */
final class Fixtures {
    static final String SOURCE_REGION = "north";

    private Fixtures() {}

    /**
     * Returns instances in zones named {@code <region>-0}, {@code <region>-1} and so on. Services
     * s0, s1 and so on are assigned in turn.
     */
    static List<Instance> instances(List<String> regions, int zones, int perZone, int services) {
        List<Instance> instances = new ArrayList<>();
        for (int zone = 0; zone < zones; zone++) {
            String region = regions.get(zone % regions.size());
            for (int index = 0; index < perZone; index++) {
                int number = instances.size();
                instances.add(
                        instance(
                                String.format("n%04d", number),
                                "s" + number / regions.size() % services,
                                region,
                                region + "-" + zone / regions.size()));
            }
        }
        return instances;
    }

    static Instance instance(String id, String service, String region, String zone) {
        return Instance.newBuilder()
                .setId(id)
                .setServiceId(service)
                .setRegion(region)
                .setZone(zone)
                .setAddress("10.0.0.1")
                .setNodePort(7401)
                .setControlPort(7402)
                .build();
    }

    /** Returns a catalogue with one part of about {@code partBytes} bytes per service. */
    static Document catalogue(long number, int services, int partBytes) {
        SortedMap<String, ByteString> parts = new TreeMap<>();
        Entry source =
                Entry.newBuilder()
                        .setId(SOURCE_REGION)
                        .setRegionEntry(RegionEntry.newBuilder().setHoldsSource(true))
                        .build();
        parts.put("global", part(source));
        for (int service = 0; service < services; service++) {
            parts.put("service/s" + service, servicePart("s" + service, "0", partBytes));
        }
        return Document.of(number, parts);
    }

    /** Returns a copy of a catalogue in which one service has another owner. */
    static Document withChangedOwner(Document before, long number, String service, String owner) {
        SortedMap<String, ByteString> parts = new TreeMap<>(before.contents());
        int size = parts.get("service/" + service).size();
        parts.put("service/" + service, servicePart(service, owner, size));
        return Document.of(number, parts);
    }

    private static ByteString servicePart(String id, String owner, int bytes) {
        Entry entry =
                Entry.newBuilder()
                        .setId(id)
                        .setOwner(owner + "x".repeat(Math.max(0, bytes - 40)))
                        .setServiceEntry(ServiceEntry.newBuilder().setHomeRegion(SOURCE_REGION))
                        .build();
        return part(entry);
    }

    private static ByteString part(Entry entry) {
        return CataloguePart.newBuilder().addEntries(entry).build().toByteString();
    }
}
