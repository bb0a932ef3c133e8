package org.foxtailmoor.core.distribution;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.foxtailmoor.base.RendezvousHash;
import org.foxtailmoor.protocol.generated.Instance;

/**
 * Arranges the nodes of one zone as a complete tree in heap order. Leaving nodes come last, so that
 * they become leaves where possible.
 */
final class TreeOrder {
    private final List<String> mOrder;
    private final Map<String, Integer> mPositions = new HashMap<>();

    private TreeOrder(List<String> order) {
        mOrder = List.copyOf(order);
        for (int position = 0; position < mOrder.size(); position++) {
            mPositions.put(mOrder.get(position), position);
        }
    }

    /** Returns the arrangement of a zone's instances in a tree. */
    static TreeOrder of(Tree tree, String zone, List<Instance> instances) {
        List<String> live = new ArrayList<>();
        List<String> leaving = new ArrayList<>();
        for (Instance instance : instances) {
            (instance.getLeaving() ? leaving : live).add(instance.getId());
        }
        List<String> order = new ArrayList<>(RendezvousHash.rank(tree.keyOf(zone), live));
        order.addAll(RendezvousHash.rank(tree.keyOf(zone), leaving));
        return new TreeOrder(order);
    }

    /** Returns the root, or null if the zone is empty. */
    String root() {
        return mOrder.isEmpty() ? null : mOrder.get(0);
    }

    /** Returns the children of a node; empty for a leaf or an unknown node. */
    List<String> childrenOf(String id, int fanOut) {
        Integer position = mPositions.get(id);
        if (position == null) {
            return List.of();
        }
        int first = Math.min(mOrder.size(), position * fanOut + 1);
        int end = Math.min(mOrder.size(), first + fanOut);
        return mOrder.subList(first, end);
    }
}
