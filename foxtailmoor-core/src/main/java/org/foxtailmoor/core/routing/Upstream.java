package org.foxtailmoor.core.routing;

import org.foxtailmoor.protocol.generated.Instance;

/**
 * Routing destination: a target and its node, as described by the instance list.
 *
 * @param id instance id
 * @param serviceId id of the service that the target belongs to
 * @param region region of the instance
 * @param zone availability zone of the instance
 * @param address IP address
 * @param nodePort port for requests between nodes
 * @param leaving whether the instance list marks the instance as leaving
 * @param slots concurrent requests of the target, 0 if the instance list does not state it
 * @param warmUpMilliseconds remaining warm-up time of the target when it was listed
 */
public record Upstream(
        String id,
        String serviceId,
        String region,
        String zone,
        String address,
        int nodePort,
        boolean leaving,
        int slots,
        int warmUpMilliseconds) {
    /** Creates an upstream from an entry of the instance list, which must not be null. */
    public static Upstream of(Instance instance) {
        return new Upstream(
                instance.getId(),
                instance.getServiceId(),
                instance.getRegion(),
                instance.getZone(),
                instance.getAddress(),
                instance.getNodePort(),
                instance.getLeaving(),
                instance.getSlots(),
                instance.getWarmUpMilliseconds());
    }
}
