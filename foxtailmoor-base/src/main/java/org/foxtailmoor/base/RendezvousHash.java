package org.foxtailmoor.base;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import net.openhft.hashing.LongHashFunction;

/**
 * Ranks members for a key by rendezvous (highest random weight) hashing. Every process that has the
 * same members gets the same ranking, and removing a member only reassigns the keys for which it
 * ranked first.
 */
public final class RendezvousHash {
    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private RendezvousHash() {}

    /**
     * Returns the weight of a member for a key; the member with the highest weight ranks first.
     *
     * @param key key, not null
     * @param member member id, not null
     */
    public static long weight(String key, String member) {
        byte[] bytes = (key + '\u0000' + member).getBytes(StandardCharsets.UTF_8);
        return HASH.hashBytes(bytes);
    }

    /**
     * Returns the members ordered by descending weight for a key. Equal weights are ordered by id.
     *
     * @param key key, not null
     * @param members member ids, without null; may be empty
     */
    public static List<String> rank(String key, Collection<String> members) {
        record Weighted(String member, long weight) {}
        List<Weighted> weighted = new ArrayList<>(members.size());
        for (String member : members) {
            weighted.add(new Weighted(member, weight(key, member)));
        }
        weighted.sort(
                Comparator.comparingLong(Weighted::weight)
                        .reversed()
                        .thenComparing(Weighted::member));
        List<String> ranked = new ArrayList<>(weighted.size());
        for (Weighted entry : weighted) {
            ranked.add(entry.member());
        }
        return ranked;
    }
}
