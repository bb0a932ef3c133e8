package org.foxtailmoor.core.source;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.foxtailmoor.base.RendezvousHash;
import org.foxtailmoor.protocol.generated.Instance;

/**
 * Order in which a node asks other nodes for the items of the store. The nodes of a region form a
 * tree by rendezvous hashing: the first one reads the store, the others read from a parent or, if
 * it fails, from a second parent. A change thus crosses a link between regions once.
 *
 * @param rank position of the node in its region, 0 for the node that reads the store
 * @param listed whether the node is among the known instances, so that others may read from it
 * @param peers hosts to ask in this order; for rank 0 only while the store does not respond
 * @param standby host to ask while the copy is outdated; for the first node of the region the one
 *     that replaces it, for others one near the root that is not among their peers; empty if there
 *     is none
 * @param fleetSize number of known hosts
 */
public record ReadOrder(
        int rank, boolean listed, List<String> peers, String standby, int fleetSize) {
    /** Children of a node. */
    public static final int FAN_OUT = 6;

    /** Stands for the store among the hosts of the sources. */
    public static final String STORE = "";

    /** Copies the peers. */
    public ReadOrder {
        peers = List.copyOf(peers);
    }

    /**
     * Returns the order for a node.
     *
     * @param host host of the node; if it is not among the instances, the others do not read from
     *     it, and its rank is above theirs
     * @param region region of the node
     * @param instances known instances; those that are leaving are not asked
     */
    public static ReadOrder of(String host, String region, Collection<Instance> instances) {
        Map<String, Set<String>> hostsByRegion = new TreeMap<>();
        for (Instance instance : instances) {
            if (!instance.getLeaving()) {
                hostsByRegion
                        .computeIfAbsent(instance.getRegion(), key -> new TreeSet<>())
                        .add(instance.getAddress());
            }
        }
        List<String> ranked =
                RendezvousHash.rank(region, hostsByRegion.getOrDefault(region, Set.of()));
        boolean listed = ranked.contains(host);
        int rank = listed ? ranked.indexOf(host) : unlistedRank(host, ranked.size());
        int fleetSize = hostsByRegion.values().stream().mapToInt(Set::size).sum();
        Set<String> peers = new LinkedHashSet<>();
        if (rank > 0 && !ranked.isEmpty()) {
            int parent = Math.min((rank - 1) / FAN_OUT, ranked.size() - 1);
            int next = parent + 1 < Math.min(rank, ranked.size()) ? parent + 1 : parent - 1;
            peers.add(ranked.get(parent));
            peers.add(ranked.get(Math.max(0, next)));
        } else {
            hostsByRegion.forEach(
                    (other, hosts) -> {
                        if (!other.equals(region)) {
                            peers.add(RendezvousHash.rank(other, hosts).get(0));
                        }
                    });
            if (peers.isEmpty()) {
                ranked.stream().skip(1).limit(1).forEach(peers::add);
            }
        }
        String standby = standby(host, rank, listed, ranked, peers);
        return new ReadOrder(rank, listed, new ArrayList<>(peers), standby, fleetSize);
    }

    /**
     * Returns the hosts of all sources in the order of preference: the peers, the {@link #STORE},
     * which comes first for the first node, and the standby if there is one.
     */
    public List<String> sources() {
        List<String> sources = new ArrayList<>(peers);
        sources.add(rank == 0 ? 0 : peers.size(), STORE);
        if (!standby.isEmpty() && !peers.contains(standby)) {
            sources.add(standby);
        }
        return sources;
    }

    private static String standby(
            String host, int rank, boolean listed, List<String> ranked, Set<String> peers) {
        if (rank == 0) {
            return listed && ranked.size() > 1 ? ranked.get(1) : "";
        }
        List<String> nearRoot =
                ranked.stream()
                        .limit(Math.min(rank, FAN_OUT + 1))
                        .filter(other -> !peers.contains(other))
                        .toList();
        long weight = RendezvousHash.weight("", host);
        return nearRoot.isEmpty()
                ? ""
                : nearRoot.get((int) Math.floorMod(weight, (long) nearRoot.size()));
    }

    /**
     * Spreads the unlisted hosts, of which a node knows none, over the places behind the others.
     */
    private static int unlistedRank(String host, int listedHosts) {
        long weight = RendezvousHash.weight("", host);
        return listedHosts + 1 + (int) Math.floorMod(weight, (long) listedHosts + FAN_OUT);
    }
}
