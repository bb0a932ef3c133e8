package org.foxtailmoor.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.foxtailmoor.protocol.generated.Instance;

/**
 * Index of one instance list by id, zone, region and service.
 *
 * <p>Immutable. A lookup of an unknown zone, region or service returns an empty list.
 */
public final class Fleet {
    /** Fleet without instances. */
    public static final Fleet EMPTY = of(List.of());

    private final List<Instance> mInstances;
    private final Map<String, Instance> mById = new HashMap<>();
    private final SortedMap<String, List<Instance>> mByZone = new TreeMap<>();
    private final SortedMap<String, List<Instance>> mByRegion = new TreeMap<>();
    private final Map<String, List<Instance>> mByService = new HashMap<>();
    private final Map<String, List<String>> mIdsByZone;
    private final Map<String, List<String>> mIdsByRegion;
    private final List<String> mRegions;
    private final Map<String, Integer> mLiveByZone = new HashMap<>();

    private Fleet(Collection<Instance> instances) {
        mInstances = List.copyOf(instances);
        for (Instance instance : mInstances) {
            mById.put(instance.getId(), instance);
            add(mByZone, instance.getZone(), instance);
            add(mByRegion, instance.getRegion(), instance);
            add(mByService, instance.getServiceId(), instance);
            if (!instance.getLeaving()) {
                mLiveByZone.merge(instance.getZone(), 1, Integer::sum);
            }
        }
        mIdsByZone = ids(mByZone);
        mIdsByRegion = ids(mByRegion);
        mRegions = List.copyOf(mByRegion.keySet());
    }

    /** Creates a fleet; every returned list keeps the order of the instances. */
    public static Fleet of(Collection<Instance> instances) {
        return new Fleet(instances);
    }

    /** Returns all instances, unmodifiable. */
    public List<Instance> instances() {
        return mInstances;
    }

    /** Returns the instance with an id, or null if there is none. */
    public Instance find(String id) {
        return mById.get(id);
    }

    /** Returns the instances of a zone, unmodifiable. */
    public List<Instance> ofZone(String zone) {
        return Collections.unmodifiableList(mByZone.getOrDefault(zone, List.of()));
    }

    /** Returns the instances of a region, unmodifiable. */
    public List<Instance> ofRegion(String region) {
        return Collections.unmodifiableList(mByRegion.getOrDefault(region, List.of()));
    }

    /** Returns the ids of the instances of a zone, unmodifiable. */
    public List<String> idsOfZone(String zone) {
        return mIdsByZone.getOrDefault(zone, List.of());
    }

    /** Returns the ids of the instances of a region, unmodifiable. */
    public List<String> idsOfRegion(String region) {
        return mIdsByRegion.getOrDefault(region, List.of());
    }

    /** Returns the instances of a service, unmodifiable. */
    public List<Instance> ofService(String serviceId) {
        return Collections.unmodifiableList(mByService.getOrDefault(serviceId, List.of()));
    }

    /** Returns the number of non-leaving instances by zone; zones without any are absent. */
    public Map<String, Integer> liveByZone() {
        return Collections.unmodifiableMap(mLiveByZone);
    }

    /** Returns the regions that have instances, sorted by name. */
    public List<String> regions() {
        return mRegions;
    }

    /** Returns the zones that have instances, sorted by name. */
    public List<String> zones() {
        return List.copyOf(mByZone.keySet());
    }

    /** Returns the zones of a region that have instances, sorted by name. */
    public List<String> zonesOf(String region) {
        return ofRegion(region).stream().map(Instance::getZone).distinct().sorted().toList();
    }

    private static Map<String, List<String>> ids(Map<String, List<Instance>> instances) {
        Map<String, List<String>> ids = new HashMap<>();
        instances.forEach((key, list) -> ids.put(key, list.stream().map(Instance::getId).toList()));
        return ids;
    }

    private static void add(Map<String, List<Instance>> map, String key, Instance instance) {
        map.computeIfAbsent(key, name -> new ArrayList<>()).add(instance);
    }
}
