package org.foxtailmoor.core.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.random.RandomGenerator;
import org.foxtailmoor.protocol.generated.TrafficShare;

/**
 * Splits the requests of a route between services by weight, using smooth weighted round robin. The
 * start is random, so that nodes that start together do not select the same service in step.
 * Confined to the data loop.
 */
public final class TrafficSplitter {
    private final RandomGenerator mRandom;
    private final Map<String, WeightedRoundRobin> mRoundRobins = new HashMap<>();

    /**
     * Creates a splitter.
     *
     * @param random random generator, not null
     */
    public TrafficSplitter(RandomGenerator random) {
        mRandom = Objects.requireNonNull(random, "random");
    }

    /** Selects the service for the next request of a route and returns its id. */
    public String nextServiceId(Route route) {
        List<TrafficShare> shares = route.entry().getSplitList();
        if (shares.isEmpty()) {
            return route.serviceId();
        }
        WeightedRoundRobin roundRobin = mRoundRobins.get(route.id());
        if (roundRobin == null || !roundRobin.mShares.equals(shares)) {
            roundRobin = new WeightedRoundRobin(shares, mRandom);
            mRoundRobins.put(route.id(), roundRobin);
        }
        return roundRobin.nextServiceId();
    }

    /** Removes routes that the snapshot does not contain. */
    public void retain(RoutingSnapshot snapshot) {
        mRoundRobins.keySet().removeIf(id -> snapshot.routeById(id) == null);
    }

    private static final class WeightedRoundRobin {
        private final List<TrafficShare> mShares;
        private final double[] mCurrentWeights;
        private final long mTotalWeight;

        WeightedRoundRobin(List<TrafficShare> shares, RandomGenerator random) {
            mShares = shares;
            mCurrentWeights = new double[shares.size()];
            long total = 0;
            for (TrafficShare share : shares) {
                total += share.getWeight();
            }
            mTotalWeight = total;
            for (int i = 0; i < mCurrentWeights.length; i++) {
                mCurrentWeights[i] = random.nextDouble() * total;
            }
        }

        String nextServiceId() {
            int best = 0;
            for (int i = 0; i < mCurrentWeights.length; i++) {
                mCurrentWeights[i] += mShares.get(i).getWeight();
                boolean eligible = mShares.get(i).getWeight() > 0;
                boolean better =
                        mShares.get(best).getWeight() == 0
                                || mCurrentWeights[i] > mCurrentWeights[best];
                if (eligible && better) {
                    best = i;
                }
            }
            mCurrentWeights[best] -= mTotalWeight;
            return mShares.get(best).getServiceId();
        }
    }
}
