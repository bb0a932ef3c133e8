package org.foxtailmoor.core.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.foxtailmoor.catalogue.CatalogueSnapshot;
import org.foxtailmoor.protocol.generated.ClassEntry;
import org.foxtailmoor.protocol.generated.DocumentVersion;
import org.foxtailmoor.protocol.generated.Entry;
import org.foxtailmoor.protocol.generated.Instance;
import org.foxtailmoor.protocol.generated.LimitEntry;
import org.foxtailmoor.protocol.generated.RegionEntry;
import org.foxtailmoor.protocol.generated.RetryEntry;
import org.foxtailmoor.protocol.generated.RouteEntry;
import org.foxtailmoor.protocol.generated.ServiceEntry;

/** Builds routing snapshots for tests, with the class "c", the retry "r" and the limit "l". */
public final class RoutingSnapshotBuilder {
    private final List<Entry> mEntries = new ArrayList<>();
    private final List<Instance> mInstances = new ArrayList<>();

    public RoutingSnapshotBuilder() {
        add("c", "", e -> e.setClassEntry(ClassEntry.newBuilder().setWeight(1).setQueueLimit(50)));
        RetryEntry.Builder retry = RetryEntry.newBuilder().setAttempts(3).setBudgetPercent(20);
        add("r", "c", e -> e.setRetryEntry(retry.setBaseBackoffMilliseconds(10)));
        LimitEntry.Builder limit = LimitEntry.newBuilder().setRatePerSecond(100).setBurst(10);
        add("l", "c", e -> e.setLimitEntry(limit.setConcurrency(30)));
        RegionEntry.Builder doo = RegionEntry.newBuilder().addZones("sapporo-a");
        add("doo", "", e -> e.setRegionEntry(doo.addFallbackRegions("dohoku")));
        add("dohoku", "", e -> e.setRegionEntry(RegionEntry.newBuilder().addZones("nayoro-a")));
    }

    public static DocumentVersion version(long number) {
        return DocumentVersion.newBuilder().setNumber(number).build();
    }

    public RoutingSnapshotBuilder service(String id, int slots) {
        ServiceEntry.Builder service = ServiceEntry.newBuilder().setHomeRegion("doo");
        service.setSlots(slots).setCrashLimit(2).setSlowStartMilliseconds(10_000);
        return add(id, "c", e -> e.setServiceEntry(service));
    }

    public RoutingSnapshotBuilder requestClass(String id, int weight, int queueLimit) {
        ClassEntry.Builder entry = ClassEntry.newBuilder().setWeight(weight);
        return add(id, "", e -> e.setClassEntry(entry.setQueueLimit(queueLimit)));
    }

    public RoutingSnapshotBuilder route(
            String id, String service, String method, String prefix, boolean idempotent) {
        return route(id, service, method, prefix, entry -> entry.setIdempotent(idempotent));
    }

    public RoutingSnapshotBuilder route(
            String id,
            String service,
            String method,
            String prefix,
            Consumer<RouteEntry.Builder> change) {
        RouteEntry.Builder route = RouteEntry.newBuilder().setServiceId(service).setMethod(method);
        route.setPathPrefix(prefix).setDeadlineMilliseconds(10_000).setBodyLimitBytes(1000);
        change.accept(route.setRetryId("r"));
        return add(id, "c", e -> e.setRouteEntry(route));
    }

    public RoutingSnapshotBuilder upstreams(
            String service, String region, String zone, String... ids) {
        for (String id : ids) {
            Instance.Builder instance = Instance.newBuilder().setId(id).setServiceId(service);
            mInstances.add(instance.setRegion(region).setZone(zone).build());
        }
        return this;
    }

    public RoutingSnapshotBuilder add(String id, String classId, Consumer<Entry.Builder> body) {
        Entry.Builder entry = Entry.newBuilder().setId(id).setOwner("o").setClassId(classId);
        body.accept(entry);
        mEntries.add(entry.build());
        return this;
    }

    public RoutingSnapshot build(long catalogueNumber, long instancesNumber) {
        CatalogueSnapshot catalogue = CatalogueSnapshot.of(version(catalogueNumber), mEntries);
        return RoutingSnapshot.of(catalogue, version(instancesNumber), mInstances);
    }
}
