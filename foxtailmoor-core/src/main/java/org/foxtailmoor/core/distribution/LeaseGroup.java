package org.foxtailmoor.core.distribution;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.foxtailmoor.base.RendezvousHash;
import org.foxtailmoor.core.membership.Fleet;
import org.foxtailmoor.protocol.generated.Instance;

/**
 * The nodes of which a majority must confirm a view: the members of a service in its home region,
 * filled up with other instances of the region.
 *
 * @param members live instances of the service in the home region, sorted by id
 * @param voters nodes that are asked, sorted by id; in a large service not all members
 */
record LeaseGroup(Set<String> members, List<String> voters) {
    static final LeaseGroup EMPTY = new LeaseGroup(Set.of(), List.of());

    /**
     * Size to which other instances fill the group. It is even, because one change of the list may
     * exchange one filling node for another: majorities of two such groups overlap only if their
     * size is even (4 + 4 of 7, but 3 + 3 of 6).
     */
    static final int SMALLEST_SIZE = 6;

    /** Largest group, even for the same reason; it bounds the control bytes of large services. */
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

    /** Returns how many voters are more than half of them. */
    int majority() {
        return voters.size() / 2 + 1;
    }

    private static List<String> first(String serviceId, Set<String> ids, int size) {
        if (size <= 0) {
            return List.of();
        }
        List<String> ranked = RendezvousHash.rank(serviceId, ids);
        return ranked.subList(0, Math.min(size, ranked.size()));
    }
}
