package org.foxtailmoor.core.distribution;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.foxtailmoor.base.RendezvousHash;
import org.foxtailmoor.core.membership.Fleet;
import org.foxtailmoor.core.membership.ViewQuorum;
import org.foxtailmoor.protocol.generated.Instance;

/**
 * Group of nodes of which a quorum must confirm a view. It consists of the members of a service in
 * its home region, supplemented by other instances of the region if there are few members.
 *
 * @param members live instances of the service in the home region, sorted by id
 * @param voters nodes that may confirm the view, sorted by id; a subset of the members in a large
 *     service
 */
record LeaseGroup(Set<String> members, List<String> voters) {
    static final LeaseGroup EMPTY = new LeaseGroup(Set.of(), List.of());

    /**
     * Size up to which other instances supplement the group. With 8 voters the quorum is 6: a lease
     * survives the loss of two voters, and quorums overlap while fewer than 4 voters are replaced.
     */
    static final int MIN_SIZE = 8;

    /** Maximum size, which limits the control traffic of large services. */
    static final int MAX_SIZE = 16;

    static LeaseGroup of(Fleet fleet, String serviceId, String homeRegion) {
        Set<String> members = new TreeSet<>();
        Set<String> others = new TreeSet<>();
        for (Instance instance : fleet.ofRegion(homeRegion)) {
            if (!instance.getLeaving()) {
                boolean member = instance.getServiceId().equals(serviceId);
                (member ? members : others).add(instance.getId());
            }
        }
        List<String> voters = new ArrayList<>(selectVoters(serviceId, members, MAX_SIZE));
        voters.addAll(selectVoters(serviceId, others, MIN_SIZE - voters.size()));
        Collections.sort(voters);
        return new LeaseGroup(Collections.unmodifiableSet(members), List.copyOf(voters));
    }

    /** Returns the number of voters that must confirm a view. */
    int quorum() {
        return ViewQuorum.of(voters.size());
    }

    private static List<String> selectVoters(String serviceId, Set<String> ids, int size) {
        if (size <= 0) {
            return List.of();
        }
        List<String> ranked = RendezvousHash.rank(serviceId, ids);
        return ranked.subList(0, Math.min(size, ranked.size()));
    }
}
