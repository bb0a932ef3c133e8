package org.foxtailmoor.core.membership;

import java.lang.ref.Reference;
import java.util.ArrayList;
import java.util.List;
import org.foxtailmoor.catalogue.CatalogueSnapshot;
import org.foxtailmoor.core.routing.RoutingSnapshot;
import org.foxtailmoor.protocol.Document;
import org.foxtailmoor.protocol.DocumentVersions;
import org.foxtailmoor.protocol.generated.ClassEntry;
import org.foxtailmoor.protocol.generated.Entry;
import org.foxtailmoor.protocol.generated.Instance;
import org.foxtailmoor.protocol.generated.RouteEntry;
import org.foxtailmoor.protocol.generated.ServiceEntry;

/**
 * Prints the encoded size of the instance list and the heap that its index and routing snapshot
 * take at several fleet sizes. Not run by the build. Heap is the used heap after an explicit
 * garbage collection.
 */
final class FleetMemoryBenchmark {
    private static final int[] FLEET_SIZES = {290, 1_450, 2_900};
    private static final int UPSTREAMS_PER_SERVICE = 15;
    private static final int ZONES = 17;
    private static final int REGIONS = 6;
    private static final ClassEntry CLASS = ClassEntry.newBuilder().setWeight(1).build();

    private FleetMemoryBenchmark() {}

    /** Prints one line of JSON for each fleet size. */
    public static void main(String[] arguments) {
        for (int size : FLEET_SIZES) {
            measure(size);
        }
    }

    private static void measure(int size) {
        List<Instance> instances = instances(size);
        Document document = InstanceCodec.encode(1, instances);
        long afterDocument = usedHeap();
        Fleet fleet = Fleet.of(InstanceCodec.decode(document));
        long afterFleet = usedHeap();
        RoutingSnapshot snapshot =
                RoutingSnapshot.of(
                        catalogue(size / UPSTREAMS_PER_SERVICE),
                        document.version(),
                        fleet.instances());
        long afterSnapshot = usedHeap();
        int bytes = document.contents().values().stream().mapToInt(part -> part.size()).sum();
        System.out.printf(
                "{\"instances\":%d,\"document_bytes\":%d,"
                        + "\"fleet_heap\":%d,\"snapshot_and_catalogue_heap\":%d,\"routes\":%s}%n",
                size,
                bytes,
                afterFleet - afterDocument,
                afterSnapshot - afterFleet,
                snapshot.route("GET", "/service-0/x") != null);
        Reference.reachabilityFence(instances);
    }

    private static List<Instance> instances(int size) {
        List<Instance> instances = new ArrayList<>(size);
        for (int index = 0; index < size; index++) {
            int zone = index % ZONES;
            instances.add(
                    Instance.newBuilder()
                            .setId("service-" + index / UPSTREAMS_PER_SERVICE + "-" + index)
                            .setServiceId("service-" + index / UPSTREAMS_PER_SERVICE)
                            .setRegion("region-" + zone % REGIONS)
                            .setZone("zone-" + zone)
                            .setAddress("10.0." + index / 250 + "." + index % 250)
                            .setNodePort(7_001)
                            .setControlPort(7_002)
                            .build());
        }
        return instances;
    }

    private static CatalogueSnapshot catalogue(int services) {
        List<Entry> entries = new ArrayList<>();
        entries.add(Entry.newBuilder().setId("class").setClassEntry(CLASS).build());
        for (int index = 0; index < services; index++) {
            String id = "service-" + index;
            ServiceEntry service = ServiceEntry.newBuilder().setHomeRegion("region-0").build();
            RouteEntry route =
                    RouteEntry.newBuilder()
                            .setServiceId(id)
                            .setMethod("GET")
                            .setPathPrefix("/" + id)
                            .setDeadlineMilliseconds(1_000)
                            .build();
            entries.add(
                    Entry.newBuilder()
                            .setId(id)
                            .setClassId("class")
                            .setServiceEntry(service)
                            .build());
            entries.add(
                    Entry.newBuilder()
                            .setId("route-" + id)
                            .setClassId("class")
                            .setRouteEntry(route)
                            .build());
        }
        return CatalogueSnapshot.of(DocumentVersions.NONE, entries);
    }

    private static long usedHeap() {
        Runtime runtime = Runtime.getRuntime();
        for (int round = 0; round < 3; round++) {
            System.gc();
        }
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
