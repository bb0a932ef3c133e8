package org.foxtailmoor.core.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.foxtailmoor.catalogue.CatalogueSnapshot;
import org.foxtailmoor.protocol.DocumentVersions;
import org.foxtailmoor.protocol.generated.DocumentVersion;
import org.foxtailmoor.protocol.generated.Instance;

/**
 * Routes of one catalogue version and upstreams of one version of the instance list. Immutable.
 *
 * <p>A route whose service, class, limit or retry policy is missing is excluded. Requests that
 * match it have no route; they do not fall back to the route of a shorter prefix.
 */
public final class RoutingSnapshot implements Versioned<RoutingSnapshot> {
    private final DocumentVersion mCatalogueVersion;
    private final DocumentVersion mInstancesVersion;
    private final Map<String, ServiceView> mServices;
    private final Map<String, Upstream> mUpstreamsByAddress;
    private final RouteIndex mRoutes;
    private final Set<String> mEvacuatedZones;

    private RoutingSnapshot(
            DocumentVersion catalogueVersion,
            RouteIndex routes,
            DocumentVersion instancesVersion,
            Collection<Instance> instances,
            Set<String> evacuatedZones) {
        mCatalogueVersion = catalogueVersion;
        mInstancesVersion = instancesVersion;
        mRoutes = routes;
        mServices = new HashMap<>();
        mUpstreamsByAddress = new HashMap<>();
        mEvacuatedZones = evacuatedZones;
        Map<String, List<Upstream>> byService = new HashMap<>();
        for (Upstream upstream : sortedUpstreams(instances)) {
            byService.computeIfAbsent(upstream.serviceId(), id -> new ArrayList<>()).add(upstream);
            mUpstreamsByAddress.put(upstream.address() + ':' + upstream.nodePort(), upstream);
        }
        routes.services()
                .forEach(
                        (id, service) ->
                                mServices.put(
                                        id,
                                        ServiceView.of(
                                                service, byService.getOrDefault(id, List.of()))));
    }

    private RoutingSnapshot(RoutingSnapshot other, Set<String> evacuatedZones) {
        mCatalogueVersion = other.mCatalogueVersion;
        mInstancesVersion = other.mInstancesVersion;
        mRoutes = other.mRoutes;
        mServices = other.mServices;
        mUpstreamsByAddress = other.mUpstreamsByAddress;
        mEvacuatedZones = evacuatedZones;
    }

    /**
     * Builds a snapshot without evacuated zones.
     *
     * @param catalogue catalogue in force, not null
     * @param instancesVersion version of the instance list, not null
     * @param instances instances of the list, without null
     */
    public static RoutingSnapshot of(
            CatalogueSnapshot catalogue,
            DocumentVersion instancesVersion,
            Collection<Instance> instances) {
        return new RoutingSnapshot(
                catalogue.version(),
                RouteIndex.of(catalogue),
                instancesVersion,
                instances,
                Set.of());
    }

    /**
     * Builds a snapshot with the routes of this one, which takes much less time than {@link #of}.
     *
     * @param instancesVersion version of the instance list, not null
     * @param instances instances of the list, without null
     */
    public RoutingSnapshot withInstances(
            DocumentVersion instancesVersion, Collection<Instance> instances) {
        return new RoutingSnapshot(
                mCatalogueVersion, mRoutes, instancesVersion, instances, mEvacuatedZones);
    }

    /**
     * Builds a snapshot of another version of the catalogue. Routes and hosts whose entries are the
     * same objects are taken from this snapshot.
     *
     * @param catalogue catalogue in force, not null
     * @param instancesVersion version of the instance list, not null
     * @param instances instances of the list, without null
     */
    public RoutingSnapshot withCatalogue(
            CatalogueSnapshot catalogue,
            DocumentVersion instancesVersion,
            Collection<Instance> instances) {
        return new RoutingSnapshot(
                catalogue.version(),
                mRoutes.withCatalogue(catalogue),
                instancesVersion,
                instances,
                mEvacuatedZones);
    }

    /**
     * Returns this snapshot with other evacuated zones and the same versions.
     *
     * @param zones availability zones whose upstreams get no requests, without null; copied
     */
    public RoutingSnapshot withEvacuatedZones(Collection<String> zones) {
        Set<String> copy = Set.copyOf(zones);
        return copy.equals(mEvacuatedZones) ? this : new RoutingSnapshot(this, copy);
    }

    private static List<Upstream> sortedUpstreams(Collection<Instance> instances) {
        List<Upstream> upstreams = new ArrayList<>(instances.size());
        for (Instance instance : instances) {
            upstreams.add(Upstream.of(instance));
        }
        upstreams.sort(Comparator.comparing(Upstream::id));
        return upstreams;
    }

    /** Returns the version of the catalogue. */
    public DocumentVersion catalogueVersion() {
        return mCatalogueVersion;
    }

    /** Returns the availability zones whose upstreams get no requests, unmodifiable. */
    public Set<String> evacuatedZones() {
        return mEvacuatedZones;
    }

    /** Returns the version of the instance list. */
    public DocumentVersion instancesVersion() {
        return mInstancesVersion;
    }

    /**
     * Returns the route of a request, or null if none matches. The longest prefix wins; a method
     * takes precedence over {@code *} on the same prefix. A prefix with a last slash matches the
     * paths that begin with it, one without it the path that equals it and those that go on with a
     * slash.
     *
     * @param method HTTP method, not null
     * @param path request path, not null; a query after {@code ?} is ignored
     */
    public Route route(String method, String path) {
        return mRoutes.find(RouteIndex.ANY_HOST, method, path);
    }

    /**
     * Returns the route of a request to a host, or null if none matches. Routes of the host take
     * precedence over routes of any host.
     *
     * @param host requested host without port, not null
     * @param method HTTP method, not null
     * @param path request path, not null; a query after {@code ?} is ignored
     */
    public Route route(String host, String method, String path) {
        Route route = mRoutes.find(host.toLowerCase(Locale.ROOT), method, path);
        return route == null ? mRoutes.find(RouteIndex.ANY_HOST, method, path) : route;
    }

    /** Returns the route with an id, or null if the snapshot has no such route. */
    public Route routeById(String id) {
        return mRoutes.routeById(id);
    }

    /**
     * Returns the upstream with a node address, or null if there is none.
     *
     * @param address IP address, not null
     * @param nodePort port for requests between nodes
     */
    public Upstream upstreamAt(String address, int nodePort) {
        return mUpstreamsByAddress.get(address + ':' + nodePort);
    }

    /** Returns the service with an id, or null if there is none. */
    public ServiceView service(String id) {
        return mServices.get(id);
    }

    /** Returns the services by id, unmodifiable. */
    public Map<String, ServiceView> services() {
        return Collections.unmodifiableMap(mServices);
    }

    /** Returns the fallback regions of a region in order, empty for an unknown region. */
    public List<String> fallbackRegions(String region) {
        return mRoutes.fallbackRegions(region);
    }

    /** Returns the ids of the routes that are excluded because a referenced entry is missing. */
    public Set<String> incompleteRoutes() {
        return mRoutes.incompleteRoutes();
    }

    /**
     * Returns whether neither document is older than that of the other snapshot and at least one is
     * newer.
     */
    @Override
    public boolean isNewerThan(RoutingSnapshot other) {
        int catalogue = DocumentVersions.compare(mCatalogueVersion, other.mCatalogueVersion);
        int instances = DocumentVersions.compare(mInstancesVersion, other.mInstancesVersion);
        return catalogue >= 0 && instances >= 0 && (catalogue > 0 || instances > 0);
    }
}
