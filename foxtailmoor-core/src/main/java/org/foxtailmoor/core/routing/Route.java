package org.foxtailmoor.core.routing;

import org.foxtailmoor.catalogue.Definition;
import org.foxtailmoor.protocol.generated.ClassEntry;
import org.foxtailmoor.protocol.generated.LimitEntry;
import org.foxtailmoor.protocol.generated.RetryEntry;
import org.foxtailmoor.protocol.generated.RouteEntry;
import org.foxtailmoor.protocol.generated.ServiceEntry;

/**
 * Route with all catalogue entries that it references.
 *
 * @param definition route entry with its id, owner and class id, not null
 * @param service service entry, not null
 * @param requestClass class entry of the route, not null
 * @param limit limit entry, or null for a route without limit
 * @param retry retry entry, or null for a route without retries
 */
public record Route(
        Definition<RouteEntry> definition,
        Definition<ServiceEntry> service,
        Definition<ClassEntry> requestClass,
        Definition<LimitEntry> limit,
        Definition<RetryEntry> retry) {
    /** Returns the id of the route. */
    public String id() {
        return definition.id();
    }

    /** Returns the id of the service. */
    public String serviceId() {
        return service.id();
    }

    /** Returns the body of the route entry. */
    public RouteEntry entry() {
        return definition.body();
    }

    /** Returns whether running a request of this route twice has the same effect as once. */
    public boolean isIdempotent() {
        return entry().getIdempotent();
    }

    /**
     * Returns whether another route has the same entries. Entries are compared as objects: those
     * that a new version of the catalogue leaves unchanged are kept.
     *
     * @param other other route, or null
     */
    boolean hasBodiesOf(Route other) {
        return other != null
                && definition.id().equals(other.definition.id())
                && definition.owner().equals(other.definition.owner())
                && entry() == other.entry()
                && service.id().equals(other.service.id())
                && service.body() == other.service.body()
                && requestClass.id().equals(other.requestClass.id())
                && requestClass.body() == other.requestClass.body()
                && bodyOf(limit) == bodyOf(other.limit)
                && bodyOf(retry) == bodyOf(other.retry);
    }

    private static Object bodyOf(Definition<?> definition) {
        return definition == null ? null : definition.body();
    }
}
