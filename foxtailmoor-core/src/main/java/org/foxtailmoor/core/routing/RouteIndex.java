package org.foxtailmoor.core.routing;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeSet;
import org.foxtailmoor.catalogue.CatalogueSnapshot;
import org.foxtailmoor.catalogue.Definition;
import org.foxtailmoor.protocol.generated.ClassEntry;
import org.foxtailmoor.protocol.generated.LimitEntry;
import org.foxtailmoor.protocol.generated.RetryEntry;
import org.foxtailmoor.protocol.generated.RouteEntry;
import org.foxtailmoor.protocol.generated.ServiceEntry;
import org.foxtailmoor.protocol.generated.TrafficShare;

/**
 * Routes of one catalogue version, which all snapshots with that version share. Immutable. An index
 * that is built from the index of another version shares the unchanged routes and the trees of the
 * hosts without a changed route.
 */
final class RouteIndex {
    /** Host of the routes that apply to every host. */
    static final String ANY_HOST = "";

    private static final RouteIndex EMPTY = new RouteIndex(CatalogueSnapshot.EMPTY, null);

    private final CatalogueSnapshot mCatalogue;
    private final SortedMap<String, Definition<ServiceEntry>> mServices;
    private final Map<String, Route> mRoutes = new HashMap<>();
    private final Map<String, List<String>> mFallbackRegions = new HashMap<>();
    private final Set<String> mIncompleteRoutes = new TreeSet<>();
    private final Map<String, HostRoutes> mHosts = new HashMap<>();

    /** Routes of one host; a route that is incomplete is null. */
    private static final class HostRoutes {
        private final List<Definition<RouteEntry>> mDefinitions = new ArrayList<>();
        private final List<Route> mRoutes = new ArrayList<>();
        private RouteTree mTree;

        void add(Definition<RouteEntry> definition, Route route) {
            mDefinitions.add(definition);
            mRoutes.add(route);
        }

        void build(HostRoutes previous) {
            if (previous != null && hasSameRoutes(previous)) {
                mTree = previous.mTree;
                return;
            }
            mTree = new RouteTree();
            for (int i = 0; i < mRoutes.size(); i++) {
                RouteEntry entry = mDefinitions.get(i).body();
                mTree.add(entry.getMethod(), entry.getPathPrefix(), mRoutes.get(i));
            }
        }

        private boolean hasSameRoutes(HostRoutes other) {
            if (mRoutes.size() != other.mRoutes.size()) {
                return false;
            }
            for (int i = 0; i < mRoutes.size(); i++) {
                boolean same =
                        mRoutes.get(i) == other.mRoutes.get(i)
                                && mDefinitions.get(i).body() == other.mDefinitions.get(i).body();
                if (!same) {
                    return false;
                }
            }
            return true;
        }
    }

    private RouteIndex(CatalogueSnapshot catalogue, RouteIndex previous) {
        mCatalogue = catalogue;
        mServices = catalogue.services();
        catalogue
                .regions()
                .forEach(
                        (id, region) ->
                                mFallbackRegions.put(
                                        id, List.copyOf(region.body().getFallbackRegionsList())));
        for (Definition<RouteEntry> definition : catalogue.routes().values()) {
            addRoute(definition, previous == null ? null : previous.mRoutes.get(definition.id()));
        }
        mHosts.forEach(
                (host, routes) ->
                        routes.build(previous == null ? null : previous.mHosts.get(host)));
    }

    /** Builds the index of a catalogue. */
    static RouteIndex of(CatalogueSnapshot catalogue) {
        return new RouteIndex(catalogue, EMPTY);
    }

    /** Builds the index of another version of the catalogue of this index. */
    RouteIndex withCatalogue(CatalogueSnapshot catalogue) {
        return new RouteIndex(catalogue, this);
    }

    /** Returns the services by id. */
    SortedMap<String, Definition<ServiceEntry>> services() {
        return mServices;
    }

    /** Returns the route of a host with the longest matching prefix, or null. */
    Route find(String host, String method, String path) {
        HostRoutes routes = mHosts.get(host);
        return routes == null ? null : routes.mTree.find(method, path);
    }

    /** Returns the route with an id, or null if there is no such route or it is incomplete. */
    Route routeById(String id) {
        return mRoutes.get(id);
    }

    /** Returns the fallback regions of a region in order, empty for an unknown region. */
    List<String> fallbackRegions(String region) {
        return mFallbackRegions.getOrDefault(region, List.of());
    }

    /** Returns the ids of the routes that are excluded because a referenced entry is missing. */
    Set<String> incompleteRoutes() {
        return Collections.unmodifiableSet(mIncompleteRoutes);
    }

    private void addRoute(Definition<RouteEntry> definition, Route previous) {
        RouteEntry entry = definition.body();
        Definition<ServiceEntry> service = mServices.get(entry.getServiceId());
        Definition<ClassEntry> requestClass = mCatalogue.classes().get(definition.classId());
        Definition<LimitEntry> limit = mCatalogue.limits().get(entry.getLimitId());
        Definition<RetryEntry> retry = mCatalogue.retries().get(entry.getRetryId());
        boolean complete =
                service != null
                        && hasServices(entry)
                        && requestClass != null
                        && isResolved(mCatalogue.limits(), entry.getLimitId())
                        && isResolved(mCatalogue.retries(), entry.getRetryId());
        Route route = null;
        if (complete) {
            route = new Route(definition, service, requestClass, limit, retry);
            route = route.hasBodiesOf(previous) ? previous : route;
            mRoutes.put(route.id(), route);
        } else {
            mIncompleteRoutes.add(definition.id());
        }
        mHosts.computeIfAbsent(entry.getHost().toLowerCase(Locale.ROOT), host -> new HostRoutes())
                .add(definition, route);
    }

    private boolean hasServices(RouteEntry entry) {
        for (TrafficShare share : entry.getSplitList()) {
            if (!mServices.containsKey(share.getServiceId())) {
                return false;
            }
        }
        return true;
    }

    private static boolean isResolved(SortedMap<String, ?> entries, String id) {
        return id.isEmpty() || entries.containsKey(id);
    }
}
