package org.foxtailmoor.core.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.random.RandomGenerator;
import org.foxtailmoor.protocol.generated.TrafficShare;

/**
 * Distributes the requests of a route over several services by weight: smooth weighted round robin
 * with a random start, so that nodes that begin together do not choose the same part together.
 * Belongs to the data loop.
 */
public final class TrafficSplitter {
    private final RandomGenerator mRandom;
    private final Map<String, Rotation> mRotations = new HashMap<>();

    /**
     * Creates a splitter.
     *
     * @param random source of randomness, not null
     */
    public TrafficSplitter(RandomGenerator random) {
        mRandom = Objects.requireNonNull(random, "random");
    }

    /** Returns the id of the service that serves the next request of a route. */
    public String next(Route route) {
        List<TrafficShare> shares = route.entry().getSplitList();
        if (shares.isEmpty()) {
            return route.serviceId();
        }
        Rotation rotation = mRotations.get(route.id());
        if (rotation == null || !rotation.mShares.equals(shares)) {
            rotation = new Rotation(shares, mRandom);
            mRotations.put(route.id(), rotation);
        }
        return rotation.next();
    }

    /** Forgets routes that are not in force any more. */
    public void retain(RoutingSnapshot snapshot) {
        mRotations.keySet().removeIf(id -> snapshot.routeById(id) == null);
    }

    private static final class Rotation {
        private final List<TrafficShare> mShares;
        private final double[] mCredits;
        private final long mTotal;

        Rotation(List<TrafficShare> shares, RandomGenerator random) {
            mShares = shares;
            mCredits = new double[shares.size()];
            long total = 0;
            for (TrafficShare share : shares) {
                total += share.getWeight();
            }
            mTotal = total;
            for (int i = 0; i < mCredits.length; i++) {
                mCredits[i] = random.nextDouble() * total;
            }
        }

        String next() {
            int best = 0;
            for (int i = 0; i < mCredits.length; i++) {
                mCredits[i] += mShares.get(i).getWeight();
                boolean eligible = mShares.get(i).getWeight() > 0;
                boolean better = mShares.get(best).getWeight() == 0 || mCredits[i] > mCredits[best];
                if (eligible && better) {
                    best = i;
                }
            }
            mCredits[best] -= mTotal;
            return mShares.get(best).getServiceId();
        }
    }
}
