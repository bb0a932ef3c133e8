package org.foxtailmoor.core.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * Learns the mean length of the answers of each route, which is what a request costs on its way
 * back. Belongs to the data loop.
 *
 * <p>Load pattern: one zone is busier than the others, and reads with long answers would be placed
 * across zones and regions as if they cost as little as their requests.
 */
public final class AnswerSizes {
    /** Weight of a new answer in the mean. */
    private static final double SMOOTHING = 0.1;

    private final Map<String, Double> mMeans = new HashMap<>();

    /** Counts an answer of a route; the length is in bytes and at least 0. */
    public void add(String routeId, long bytes) {
        mMeans.merge(routeId, (double) bytes, (mean, added) -> mean + (added - mean) * SMOOTHING);
    }

    /** Returns the mean length of a route's answers in bytes, 0 before the first. */
    public long mean(String routeId) {
        return Math.round(mMeans.getOrDefault(routeId, 0.0));
    }

    /** Forgets routes that are not in force any more. */
    public void retain(RoutingSnapshot snapshot) {
        mMeans.keySet().removeIf(id -> snapshot.routeById(id) == null);
    }
}
