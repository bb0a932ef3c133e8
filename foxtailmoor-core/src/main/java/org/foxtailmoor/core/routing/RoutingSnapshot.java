package org.foxtailmoor.core.routing;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.foxtailmoor.catalogue.CatalogueSnapshot;
import org.foxtailmoor.protocol.generated.DocumentVersion;
import org.foxtailmoor.protocol.generated.Instance;

/**
 * Routes of one catalogue version with the upstreams of one version of the instance list.
 * Immutable.
 *
 * <p>A route whose service, class, limit or retry policy is missing is never built in; requests
 * that match it have no route, rather than the route of a shorter prefix.
 */
public final class RoutingSnapshot implements Versioned<RoutingSnapshot> {
    private RoutingSnapshot() {}

    /**
     * Builds a snapshot.
     *
     * @param catalogue catalogue in force, not null
     * @param instancesVersion version of the instance list, not null
     * @param instances instances of the list, without null
     */
    public static RoutingSnapshot of(
            CatalogueSnapshot catalogue,
            DocumentVersion instancesVersion,
            Collection<Instance> instances) {
        throw new UnsupportedOperationException();
    }

    /** Returns the version of the catalogue. */
    public DocumentVersion catalogueVersion() {
        throw new UnsupportedOperationException();
    }

    /** Returns the version of the instance list. */
    public DocumentVersion instancesVersion() {
        throw new UnsupportedOperationException();
    }

    /**
     * Returns the route of a request, or null if none matches. The longest prefix wins, by whole
     * segments; a method takes precedence over {@code *} on the same prefix.
     *
     * @param method HTTP method, not null
     * @param path request path, not null; a query after {@code ?} is ignored
     */
    public Route route(String method, String path) {
        throw new UnsupportedOperationException();
    }

    /** Returns the route with an id, or null if the snapshot has no such route. */
    public Route routeById(String id) {
        throw new UnsupportedOperationException();
    }

    /** Returns the service with an id, or null if the catalogue has none. */
    public ServiceView service(String id) {
        throw new UnsupportedOperationException();
    }

    /** Returns the services by id, unmodifiable. */
    public Map<String, ServiceView> services() {
        throw new UnsupportedOperationException();
    }

    /** Returns the fallback regions of a region in order, empty for an unknown region. */
    public List<String> fallbackRegions(String region) {
        throw new UnsupportedOperationException();
    }

    /** Returns the ids of routes that were left out because a reference is missing. */
    public Set<String> incompleteRoutes() {
        throw new UnsupportedOperationException();
    }

    @Override
    public boolean isNewerThan(RoutingSnapshot other) {
        throw new UnsupportedOperationException();
    }
}
