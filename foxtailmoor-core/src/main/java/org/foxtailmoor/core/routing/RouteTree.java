package org.foxtailmoor.core.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * Prefix tree of routes by path segment and method. Not modified after it is built.
 *
 * <p>A prefix with a last slash matches the paths that begin with it. A prefix without one also
 * matches the path that equals it, and else only paths that go on with a slash. Prefixes and paths
 * are compared character by character: empty segments count, and escapes are not decoded.
 */
final class RouteTree {
    private static final String ANY_METHOD = "*";

    private final Node mRoot = new Node();

    /**
     * Adds a route.
     *
     * @param pathPrefix prefix; one that is not empty and does not begin with a slash matches no
     *     path
     * @param route route, or null to leave matching requests without a route
     */
    void add(String method, String pathPrefix, Route route) {
        if (!pathPrefix.isEmpty() && pathPrefix.charAt(0) != '/') {
            return;
        }
        boolean endsWithSlash = pathPrefix.endsWith("/");
        int end = endsWithSlash ? pathPrefix.length() - 1 : pathPrefix.length();
        Node node = mRoot;
        int start = 1;
        while (start <= end) {
            int stop = endOfSegment(pathPrefix, start, end);
            String segment = pathPrefix.substring(start, stop);
            node = node.mChildren.computeIfAbsent(segment, key -> new Node());
            start = stop + 1;
        }
        (endsWithSlash ? node.mBeforeSlash : node.mWholeSegment).put(method, new Match(route));
    }

    /** Returns the route with the longest matching prefix, or null. */
    Route find(String method, String path) {
        if (path.isEmpty() || path.charAt(0) != '/') {
            return null;
        }
        int query = path.indexOf('?');
        int end = query < 0 ? path.length() : query;
        Node node = mRoot;
        Match best = node.longestMatch(method, true);
        int start = 1;
        while (start < end) {
            int stop = endOfSegment(path, start, end);
            node = node.mChildren.get(path.substring(start, stop));
            if (node == null) {
                break;
            }
            Match match = node.longestMatch(method, stop < end);
            best = match == null ? best : match;
            start = stop + 1;
        }
        return best == null ? null : best.route();
    }

    private static int endOfSegment(String path, int start, int end) {
        int slash = path.indexOf('/', start);
        return slash < 0 || slash > end ? end : slash;
    }

    private record Match(Route route) {}

    private static final class Node {
        private final Map<String, Node> mChildren = new HashMap<>();

        /** Routes by method whose prefix ends with the segment of this node. */
        private final Map<String, Match> mWholeSegment = new HashMap<>(2);

        /** Routes by method whose prefix ends with a slash after the segment of this node. */
        private final Map<String, Match> mBeforeSlash = new HashMap<>(2);

        private Match longestMatch(String method, boolean isBeforeSlash) {
            Match match = isBeforeSlash ? find(mBeforeSlash, method) : null;
            return match == null ? find(mWholeSegment, method) : match;
        }

        private static Match find(Map<String, Match> routes, String method) {
            Match exact = routes.get(method);
            return exact == null ? routes.get(ANY_METHOD) : exact;
        }
    }
}
