package org.foxtailmoor.catalogue;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.foxtailmoor.protocol.generated.Entry;

/**
 * Differences between two catalogues, each list sorted by type and id.
 *
 * @param added entries that only the new catalogue has
 * @param changed entries that both have, with different content
 * @param retired entries that only the old catalogue has
 */
public record CatalogueDiff(List<Entry> added, List<Change> changed, List<Entry> retired) {

    /**
     * Content of one entry in both catalogues.
     *
     * @param before entry of the old catalogue
     * @param after entry of the new catalogue, with the same type and id
     */
    public record Change(Entry before, Entry after) {}

    private record Key(int type, String id) implements Comparable<Key> {
        static Key of(Entry entry) {
            return new Key(entry.getBodyCase().getNumber(), entry.getId());
        }

        @Override
        public int compareTo(Key other) {
            int order = Integer.compare(type, other.type);
            return order != 0 ? order : id.compareTo(other.id);
        }
    }

    /** Copies the lists. */
    public CatalogueDiff {
        added = List.copyOf(added);
        changed = List.copyOf(changed);
        retired = List.copyOf(retired);
    }

    /**
     * Compares two catalogues. If several entries have the same type and id, the last one is used.
     *
     * @param before entries of the old catalogue, not null
     * @param after entries of the new catalogue, not null
     */
    public static CatalogueDiff of(Collection<Entry> before, Collection<Entry> after) {
        Map<Key, Entry> old = index(before);
        List<Entry> added = new ArrayList<>();
        List<Change> changed = new ArrayList<>();
        index(after)
                .forEach(
                        (key, entry) -> {
                            Entry previous = old.remove(key);
                            if (previous == null) {
                                added.add(entry);
                            } else if (!previous.equals(entry)) {
                                changed.add(new Change(previous, entry));
                            }
                        });
        return new CatalogueDiff(added, changed, new ArrayList<>(old.values()));
    }

    /** Returns whether the catalogues have the same entries. */
    public boolean isEmpty() {
        return added.isEmpty() && changed.isEmpty() && retired.isEmpty();
    }

    private static Map<Key, Entry> index(Collection<Entry> entries) {
        Map<Key, Entry> index = new TreeMap<>();
        for (Entry entry : entries) {
            index.put(Key.of(entry), entry);
        }
        return index;
    }
}
