package org.foxtailmoor.core.distribution;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.foxtailmoor.base.RendezvousHash;
import org.foxtailmoor.core.membership.Fleet;
import org.foxtailmoor.core.membership.InstanceCodec;
import org.foxtailmoor.protocol.Document;
import org.foxtailmoor.protocol.generated.Instance;

/**
 * Rankings derived from one instance list: distribution trees, source readers, and gateways between
 * regions. Nodes with the same list compute the same rankings. Rankings are computed lazily.
 */
final class Topology {
    private static final String READER_KEY = "reader";
    private static final String GATEWAY_KEY_PREFIX = "region/";
    private static final int GATEWAYS_PER_REGION = 2;

    private final Fleet mFleet;
    private final Map<Tree, Map<String, TreeOrder>> mTrees = new EnumMap<>(Tree.class);
    private final Map<String, List<String>> mGateways = new HashMap<>();
    private final Map<String, Map<String, Integer>> mReaderRanks = new HashMap<>();
    private final Map<String, List<String>> mReaders = new HashMap<>();

    private Topology(Fleet fleet) {
        mFleet = fleet;
        for (Tree tree : Tree.values()) {
            mTrees.put(tree, new HashMap<>());
        }
    }

    /**
     * Returns the topology of an instance list.
     *
     * @throws IllegalArgumentException if the document is not a valid list. An empty list is
     *     invalid, because a node that applied it would lose all its peers.
     */
    static Topology of(Document document) {
        Optional<String> fault = InstanceCodec.check(document);
        if (fault.isPresent()) {
            throw new IllegalArgumentException(fault.get());
        }
        List<Instance> instances = InstanceCodec.decode(document);
        if (instances.isEmpty()) {
            throw new IllegalArgumentException("the instance list has no instances");
        }
        return new Topology(Fleet.of(instances));
    }

    /**
     * Returns the topology of an empty fleet. Each engine needs its own instance, because rankings
     * are cached and the class is not thread-safe.
     */
    static Topology empty() {
        return new Topology(Fleet.EMPTY);
    }

    Fleet fleet() {
        return mFleet;
    }

    /** Returns the root of a zone in a tree, or null if the zone is empty. */
    String rootOf(Tree tree, String zone) {
        return order(tree, zone).root();
    }

    /** Returns the children of a node in its zone. */
    List<String> childrenOf(Tree tree, String zone, String id, int fanOut) {
        return order(tree, zone).childrenOf(id, fanOut);
    }

    /** Returns the first zone of a region by name, or an empty string for an unknown region. */
    String firstZoneOf(String region) {
        List<String> zones = mFleet.zonesOf(region);
        return zones.isEmpty() ? "" : zones.get(0);
    }

    /** Returns the nodes of a region, at most two, that exchange adverts with other regions. */
    List<String> gatewaysOf(String region) {
        return mGateways.computeIfAbsent(region, this::rankGateways);
    }

    /**
     * Returns the rank of a node in the order in which nodes read the source: first the nodes of
     * the source's region, then all others. Leaving and unlisted nodes come last.
     *
     * @param sourceRegion region of the source, empty if unknown
     */
    int readerRank(String sourceRegion, String id) {
        Map<String, Integer> ranks = mReaderRanks.computeIfAbsent(sourceRegion, this::rankReaders);
        return ranks.getOrDefault(id, ranks.size());
    }

    /**
     * Returns the position of a node among the readers, or -1 if it is not a reader. The readers
     * are the nodes with the lowest ranks in each zone of the source's region.
     */
    int readerIndex(String sourceRegion, String id, int readersPerZone) {
        return mReaders.computeIfAbsent(
                        sourceRegion, region -> selectReaders(region, readersPerZone))
                .indexOf(id);
    }

    private TreeOrder order(Tree tree, String zone) {
        return mTrees.get(tree)
                .computeIfAbsent(zone, name -> TreeOrder.of(tree, name, mFleet.ofZone(name)));
    }

    private List<String> rankGateways(String region) {
        List<String> ranked =
                RendezvousHash.rank(GATEWAY_KEY_PREFIX + region, liveIds(mFleet.ofRegion(region)));
        return ranked.subList(0, Math.min(GATEWAYS_PER_REGION, ranked.size()));
    }

    private List<String> selectReaders(String sourceRegion, int readersPerZone) {
        Comparator<String> byRank = Comparator.comparingInt(id -> readerRank(sourceRegion, id));
        List<String> readers = new ArrayList<>();
        for (String zone : mFleet.zonesOf(sourceRegion)) {
            liveIds(mFleet.ofZone(zone)).stream()
                    .sorted(byRank)
                    .limit(readersPerZone)
                    .forEach(readers::add);
        }
        readers.sort(byRank);
        return readers;
    }

    private Map<String, Integer> rankReaders(String sourceRegion) {
        List<Instance> inside = new ArrayList<>();
        List<Instance> outside = new ArrayList<>();
        for (Instance instance : mFleet.instances()) {
            (instance.getRegion().equals(sourceRegion) ? inside : outside).add(instance);
        }
        List<String> ranked = new ArrayList<>(RendezvousHash.rank(READER_KEY, liveIds(inside)));
        ranked.addAll(RendezvousHash.rank(READER_KEY, liveIds(outside)));
        Map<String, Integer> ranks = new HashMap<>();
        for (String id : ranked) {
            ranks.put(id, ranks.size());
        }
        return ranks;
    }

    private static List<String> liveIds(List<Instance> instances) {
        return instances.stream()
                .filter(instance -> !instance.getLeaving())
                .map(Instance::getId)
                .toList();
    }
}
