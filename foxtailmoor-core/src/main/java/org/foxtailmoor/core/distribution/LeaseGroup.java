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
 * The nodes of which a quorum must confirm a view: the members of a service in its home region,
 * filled up with other instances of the region.
 *
 * @param members live instances of the service in the home region, sorted by id
 * @param voters nodes that are asked, sorted by id; in a large service not all members
 */
record LeaseGroup(Set<String> members, List<String> voters) {
    static final LeaseGroup EMPTY = new LeaseGroup(Set.of(), List.of());

    /**
     * Size to which other instances fill the group. With 8 voters the quorum is 6: a lease survives
     * two lost voters, and quorums overlap while fewer than 4 voters are exchanged.
     */
    static final int SMALLEST_SIZE = 8;

    /** Largest group; it bounds the control bytes of large services. */
    static final int LARGEST_SIZE = 16;

    static LeaseGroup of(Fleet fleet, String serviceId, String homeRegion) {
        Set<String> members = new TreeSet<>();
        Set<String> others = new TreeSet<>();
        for (Instance instance : fleet.ofRegion(homeRegion)) {
            if (!instance.getLeaving()) {
                boolean member = instance.getServiceId().equals(serviceId);
                (member ? members : others).add(instance.getId());
            }
        }
        List<String> voters = new ArrayList<>(first(serviceId, members, LARGEST_SIZE));
        voters.addAll(first(serviceId, others, SMALLEST_SIZE - voters.size()));
        Collections.sort(voters);
        return new LeaseGroup(Collections.unmodifiableSet(members), List.copyOf(voters));
    }

    /** Returns how many voters must confirm a view. */
    int quorum() {
        return ViewQuorum.of(voters.size());
    }

    private static List<String> first(String serviceId, Set<String> ids, int size) {
        if (size <= 0) {
            return List.of();
        }
        List<String> ranked = RendezvousHash.rank(serviceId, ids);
        return ranked.subList(0, Math.min(size, ranked.size()));
    }
}
