package org.foxtailmoor.core.routing;

import java.util.HashMap;
import java.util.Map;

/** Finds routes by method and longest path prefix. Filled once, then only read. */
final class RouteTree {
    private static final String ANY_METHOD = "*";

    private final Node mRoot = new Node();

    /**
     * Adds a route.
     *
     * @param route route, or null to let requests that match have no route
     */
    void add(String method, String pathPrefix, Route route) {
        Node node = mRoot;
        for (String segment : pathPrefix.split("/")) {
            if (!segment.isEmpty()) {
                node = node.mChildren.computeIfAbsent(segment, key -> new Node());
            }
        }
        node.mSlots.put(method, new Slot(route));
    }

    /** Returns the route for a method and path, or null. */
    Route find(String method, String path) {
        if (path.isEmpty() || path.charAt(0) != '/') {
            return null;
        }
        int query = path.indexOf('?');
        int end = query < 0 ? path.length() : query;
        Node node = mRoot;
        Slot best = node.slot(method);
        int start = 1;
        while (start < end) {
            int slash = path.indexOf('/', start);
            int stop = slash < 0 || slash > end ? end : slash;
            node = node.mChildren.get(path.substring(start, stop));
            if (node == null) {
                break;
            }
            Slot slot = node.slot(method);
            best = slot == null ? best : slot;
            start = stop + 1;
        }
        return best == null ? null : best.route();
    }

    private record Slot(Route route) {}

    private static final class Node {
        private final Map<String, Node> mChildren = new HashMap<>();
        private final Map<String, Slot> mSlots = new HashMap<>(2);

        private Slot slot(String method) {
            Slot exact = mSlots.get(method);
            return exact == null ? mSlots.get(ANY_METHOD) : exact;
        }
    }
}
