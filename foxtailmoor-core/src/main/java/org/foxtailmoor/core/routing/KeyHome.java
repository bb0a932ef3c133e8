package org.foxtailmoor.core.routing;

import java.util.List;
import org.foxtailmoor.base.RendezvousHash;

/** Selects the home of an idempotency key by rendezvous hashing over the members of a service. */
public final class KeyHome {
    private KeyHome() {}

    /**
     * Returns the member with the highest rendezvous weight, or null if there are no members. Ties
     * go to the smaller id.
     *
     * @param key key, not null
     * @param members sorted ids of the service's live upstreams in its home region, not null
     */
    public static String of(IdempotencyKey key, List<String> members) {
        String best = null;
        long bestWeight = Long.MIN_VALUE;
        for (String member : members) {
            long weight = RendezvousHash.weight(key.text(), member);
            if (best == null || weight > bestWeight) {
                best = member;
                bestWeight = weight;
            }
        }
        return best;
    }
}
