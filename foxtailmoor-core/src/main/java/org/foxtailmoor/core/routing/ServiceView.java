package org.foxtailmoor.core.routing;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.foxtailmoor.catalogue.Definition;
import org.foxtailmoor.protocol.generated.ServiceEntry;

/** Index of the upstreams of one service by zone, region and id. Immutable. */
public final class ServiceView {
    private final Definition<ServiceEntry> mDefinition;
    private final List<Upstream> mUpstreams;
    private final Map<String, List<Upstream>> mByZone = new HashMap<>();
    private final Map<String, List<Upstream>> mByRegion = new HashMap<>();
    private final List<String> mHomeMembers = new ArrayList<>();
    private final Map<String, Upstream> mById = new HashMap<>();

    private ServiceView(Definition<ServiceEntry> definition, List<Upstream> upstreams) {
        mDefinition = definition;
        mUpstreams = List.copyOf(upstreams);
        String homeRegion = definition.body().getHomeRegion();
        for (Upstream upstream : mUpstreams) {
            mById.put(upstream.id(), upstream);
            if (upstream.leaving()) {
                continue;
            }
            mByZone.computeIfAbsent(upstream.zone(), zone -> new ArrayList<>()).add(upstream);
            mByRegion.computeIfAbsent(upstream.region(), region -> new ArrayList<>()).add(upstream);
            if (upstream.region().equals(homeRegion)) {
                mHomeMembers.add(upstream.id());
            }
        }
        Collections.sort(mHomeMembers);
    }

    /**
     * Creates a view.
     *
     * @param definition service entry, not null
     * @param upstreams upstreams of the service, without null; copied
     */
    public static ServiceView of(Definition<ServiceEntry> definition, List<Upstream> upstreams) {
        return new ServiceView(definition, upstreams);
    }

    /** Returns the service entry. */
    public Definition<ServiceEntry> definition() {
        return mDefinition;
    }

    /** Returns the id of the service. */
    public String id() {
        return mDefinition.id();
    }

    /** Returns all upstreams including those that are leaving; unmodifiable. */
    public List<Upstream> upstreams() {
        return mUpstreams;
    }

    /** Returns the upstreams of a zone that are not leaving, empty for an unknown zone. */
    public List<Upstream> inZone(String zone) {
        return mByZone.getOrDefault(zone, List.of());
    }

    /** Returns the upstreams of a region that are not leaving, empty for an unknown region. */
    public List<Upstream> inRegion(String region) {
        return mByRegion.getOrDefault(region, List.of());
    }

    /** Returns the sorted ids of the home region's upstreams that are not leaving. */
    public List<String> homeMembers() {
        return Collections.unmodifiableList(mHomeMembers);
    }

    /** Returns the number of upstreams in all regions that are not leaving. */
    public int liveCount() {
        int count = 0;
        for (List<Upstream> region : mByRegion.values()) {
            count += region.size();
        }
        return count;
    }

    /** Returns the upstream with an id, or null if the service has none. */
    public Upstream upstream(String id) {
        return mById.get(id);
    }

    /**
     * Returns the home of an idempotency key, or null if all upstreams of the home region are
     * leaving or there are none.
     *
     * @param key key, not null
     */
    public Upstream homeOf(IdempotencyKey key) {
        String home = KeyHome.of(key, mHomeMembers);
        return home == null ? null : mById.get(home);
    }
}
