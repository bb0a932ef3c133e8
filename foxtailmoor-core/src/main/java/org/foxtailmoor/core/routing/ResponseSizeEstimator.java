package org.foxtailmoor.core.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the response size of each route as an exponential moving average. Confined to the data
 * loop.
 *
 * <p>The balancer adds the estimate to the request size. Otherwise, while one zone is busier than
 * the others, reads with large responses would be sent across zones and regions as if the transfer
 * were as cheap as that of their requests.
 */
public final class ResponseSizeEstimator {
    /** Weight of a new response in the moving average. */
    private static final double SMOOTHING_FACTOR = 0.1;

    private final Map<String, Double> mMeanBytes = new HashMap<>();

    /** Records the size of a response of a route, at least 0. */
    public void record(String routeId, long bytes) {
        mMeanBytes.merge(
                routeId, (double) bytes, (mean, added) -> mean + (added - mean) * SMOOTHING_FACTOR);
    }

    /** Returns the mean response size of a route, 0 before the first response. */
    public long meanBytes(String routeId) {
        return Math.round(mMeanBytes.getOrDefault(routeId, 0.0));
    }

    /** Removes routes that the snapshot does not contain. */
    public void retain(RoutingSnapshot snapshot) {
        mMeanBytes.keySet().removeIf(id -> snapshot.routeById(id) == null);
    }
}
