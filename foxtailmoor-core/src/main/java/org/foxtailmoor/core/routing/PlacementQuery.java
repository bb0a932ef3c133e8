package org.foxtailmoor.core.routing;

import java.util.Collection;
import java.util.List;
import java.util.Objects;

/**
 * Describes the request for which a {@link Balancer} selects an upstream.
 *
 * @param snapshot routing snapshot to use
 * @param service service of the request
 * @param excluded ids of upstreams that already refused or failed the request
 * @param constraints places in which the request may run
 * @param routeId id of the route, empty if unknown
 * @param bodyBytes expected size of the bodies to transfer, at least 0
 * @param limitNanoseconds maximum expected latency; balancers that do not estimate latency may
 *     ignore it
 * @param objectiveNanoseconds time left until the latency objective, 0 if there is none
 * @param deadlineNanoseconds time left until the deadline; {@link Long#MAX_VALUE} if unknown
 */
public record PlacementQuery(
        RoutingSnapshot snapshot,
        ServiceView service,
        Collection<String> excluded,
        PlaceConstraints constraints,
        String routeId,
        long bodyBytes,
        long limitNanoseconds,
        long objectiveNanoseconds,
        long deadlineNanoseconds) {
    /** Checks that no component is null. */
    public PlacementQuery {
        Objects.requireNonNull(snapshot, "snapshot");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(excluded, "excluded");
        Objects.requireNonNull(constraints, "constraints");
        Objects.requireNonNull(routeId, "routeId");
    }

    /** Creates a builder; without further settings, every upstream of the service is eligible. */
    public static Builder builder(RoutingSnapshot snapshot, ServiceView service) {
        return new Builder(snapshot, service);
    }

    /** Returns whether an upstream is neither excluded nor in a place that is not permitted. */
    public boolean permits(Upstream upstream) {
        return constraints.permits(upstream) && !excluded.contains(upstream.id());
    }

    /** Builds a query. */
    public static final class Builder {
        private final RoutingSnapshot mSnapshot;
        private final ServiceView mService;
        private Collection<String> mExcluded = List.of();
        private PlaceConstraints mConstraints = PlaceConstraints.NONE;
        private String mRouteId = "";
        private long mBodyBytes;
        private long mLimitNanoseconds = Long.MAX_VALUE;
        private long mObjectiveNanoseconds;
        private long mDeadlineNanoseconds = Long.MAX_VALUE;

        private Builder(RoutingSnapshot snapshot, ServiceView service) {
            mSnapshot = snapshot;
            mService = service;
        }

        /** Sets the ids of upstreams that must not be selected. */
        public Builder setExcluded(Collection<String> excluded) {
            mExcluded = excluded;
            return this;
        }

        /** Sets the places in which the request may run. */
        public Builder setConstraints(PlaceConstraints constraints) {
            mConstraints = constraints;
            return this;
        }

        /** Sets the id of the route. */
        public Builder setRouteId(String routeId) {
            mRouteId = routeId;
            return this;
        }

        /** Sets the expected size of the bodies to transfer. */
        public Builder setBodyBytes(long bodyBytes) {
            mBodyBytes = bodyBytes;
            return this;
        }

        /** Sets the maximum expected latency. */
        public Builder setLimitNanoseconds(long limitNanoseconds) {
            mLimitNanoseconds = limitNanoseconds;
            return this;
        }

        /**
         * Sets the times left until the latency objective, 0 if there is none, and the deadline.
         */
        public Builder setTimeLeft(long objectiveNanoseconds, long deadlineNanoseconds) {
            mObjectiveNanoseconds = objectiveNanoseconds;
            mDeadlineNanoseconds = deadlineNanoseconds;
            return this;
        }

        /** Creates the query. */
        public PlacementQuery build() {
            return new PlacementQuery(
                    mSnapshot,
                    mService,
                    mExcluded,
                    mConstraints,
                    mRouteId,
                    mBodyBytes,
                    mLimitNanoseconds,
                    mObjectiveNanoseconds,
                    mDeadlineNanoseconds);
        }
    }
}
