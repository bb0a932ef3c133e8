package org.foxtailmoor.scenarios.requests;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.foxtailmoor.catalogue.CatalogueSnapshot;
import org.foxtailmoor.core.routing.RoutingSnapshot;
import org.foxtailmoor.protocol.generated.ClassEntry;
import org.foxtailmoor.protocol.generated.DocumentVersion;
import org.foxtailmoor.protocol.generated.Entry;
import org.foxtailmoor.protocol.generated.Instance;
import org.foxtailmoor.protocol.generated.RouteEntry;
import org.foxtailmoor.protocol.generated.ServiceEntry;

/** Builds routing snapshots with one upstream per service, which has the id of the service. */
final class TestCatalogue {
    private final List<Entry> mEntries = new ArrayList<>();
    private final List<Instance> mInstances = new ArrayList<>();

    TestCatalogue() {
        add("all", e -> e.setClassEntry(ClassEntry.newBuilder().setWeight(1).setQueueLimit(5)));
    }

    void service(String id, int slots) {
        ServiceEntry.Builder service = ServiceEntry.newBuilder().setHomeRegion("doo");
        add(id, e -> e.setServiceEntry(service.setSlots(slots).setCrashLimit(2)));
        Instance.Builder instance = Instance.newBuilder().setId(id).setServiceId(id);
        mInstances.add(instance.setRegion("doo").setZone("sapporo-a").build());
    }

    void route(String prefix, String service) {
        RouteEntry.Builder route = RouteEntry.newBuilder().setServiceId(service).setMethod("POST");
        route.setPathPrefix(prefix).setDeadlineMilliseconds(30_000).setBodyLimitBytes(100);
        add(prefix, e -> e.setRouteEntry(route));
    }

    RoutingSnapshot build(long version) {
        DocumentVersion number = DocumentVersion.newBuilder().setNumber(version).build();
        return RoutingSnapshot.of(CatalogueSnapshot.of(number, mEntries), number, mInstances);
    }

    private void add(String id, Consumer<Entry.Builder> body) {
        Entry.Builder entry = Entry.newBuilder().setId(id).setClassId("all");
        body.accept(entry);
        mEntries.add(entry.build());
    }
}
