package org.foxtailmoor.core.routing;

import java.util.HashMap;
import java.util.Map;

/** Prefix tree of routes by path segment and method. Not modified after it is built. */
final class RouteTree {
    private static final String ANY_METHOD = "*";

    private final Node mRoot = new Node();

    /**
     * Adds a route.
     *
     * @param route route, or null to leave matching requests without a route
     */
    void add(String method, String pathPrefix, Route route) {
        Node node = mRoot;
        for (String segment : pathPrefix.split("/")) {
            if (!segment.isEmpty()) {
                node = node.mChildren.computeIfAbsent(segment, key -> new Node());
            }
        }
        node.mMatchesByMethod.put(method, new Match(route));
    }

    /** Returns the route with the longest matching prefix, or null. */
    Route find(String method, String path) {
        if (path.isEmpty() || path.charAt(0) != '/') {
            return null;
        }
        int query = path.indexOf('?');
        int end = query < 0 ? path.length() : query;
        Node node = mRoot;
        Match best = node.match(method);
        int start = 1;
        while (start < end) {
            int slash = path.indexOf('/', start);
            int stop = slash < 0 || slash > end ? end : slash;
            node = node.mChildren.get(path.substring(start, stop));
            if (node == null) {
                break;
            }
            Match match = node.match(method);
            best = match == null ? best : match;
            start = stop + 1;
        }
        return best == null ? null : best.route();
    }

    private record Match(Route route) {}

    private static final class Node {
        private final Map<String, Node> mChildren = new HashMap<>();
        private final Map<String, Match> mMatchesByMethod = new HashMap<>(2);

        private Match match(String method) {
            Match exact = mMatchesByMethod.get(method);
            return exact == null ? mMatchesByMethod.get(ANY_METHOD) : exact;
        }
    }
}
