package org.foxtailmoor.standins.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.foxtailmoor.standins.load.LoadKind;

/**
 * One user's deployment.
 *
 * @param name short name, also of the catalogue file
 * @param services services in the order lookups, orders, uploads
 * @param zones zones, spread over the upstreams in this order
 * @param regionOfZone region of each zone
 * @param slots slots of each target
 */
public record Deployment(
        String name,
        List<Service> services,
        List<String> zones,
        Map<String, String> regionOfZone,
        int slots) {
    /**
     * One service.
     *
     * @param id id of the service, and its path after a slash
     * @param upstreams number of upstreams
     * @param kind name of the load kind that calls it, see {@link LoadKind#of}
     */
    public record Service(String id, int upstreams, String kind) {
        /** Returns the path of requests to this service. */
        public String path() {
            return "/" + id + "/item";
        }
    }

    /** Kitamine Brochure Works. */
    public static final Deployment KITAMINE =
            new Deployment(
                    "kitamine",
                    List.of(
                            new Service("rack-catalogue", 5, "lookup"),
                            new Service("order-desk", 4, "order"),
                            new Service("artwork-intake", 4, "upload")),
                    List.of("sapporo-a", "otaru-a", "asahikawa-a", "nayoro-a"),
                    Map.of(
                            "sapporo-a", "doo",
                            "otaru-a", "doo",
                            "asahikawa-a", "dohoku",
                            "nayoro-a", "dohoku"),
                    20);

    /** Cooperativa de Cuotas de Impresión Andina. */
    public static final Deployment ANDINA =
            new Deployment(
                    "andina",
                    List.of(
                            new Service("saldo", 5, "lookup"),
                            new Service("cargos", 4, "order"),
                            new Service("cargas", 4, "upload")),
                    List.of("stgo-a", "stgo-b", "conce-a", "conce-b"),
                    Map.of(
                            "stgo-a", "santiago",
                            "stgo-b", "santiago",
                            "conce-a", "concepcion",
                            "conce-b", "concepcion"),
                    12);

    /** Returns the same deployment with another number of upstreams, split as evenly as can be. */
    public Deployment withUpstreams(int upstreams) {
        List<Service> scaled = new ArrayList<>();
        int count = services.size();
        for (int i = 0; i < count; i++) {
            Service service = services.get(i);
            int share = upstreams / count + (i < upstreams % count ? 1 : 0);
            scaled.add(new Service(service.id(), share, service.kind()));
        }
        return new Deployment(name, scaled, zones, regionOfZone, slots);
    }

    /** Returns the home region of all services, which is the region of the first zone. */
    public String homeRegion() {
        return regionOfZone.get(zones.get(0));
    }

    /** Returns a load kind for a service. */
    public LoadKind loadOf(int service, double ratePerSecond) {
        Service called = services.get(service);
        return LoadKind.of(called.kind(), ratePerSecond, called.path());
    }
}
