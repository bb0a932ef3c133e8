package org.foxtailmoor.core.routing;

import org.foxtailmoor.protocol.generated.Instance;

/**
 * A target and its node as a routing destination, as the instance list describes it.
 *
 * @param id instance id
 * @param serviceId id of the service that the target serves
 * @param region region of the instance
 * @param zone availability zone of the instance
 * @param address IP number
 * @param nodePort port for requests between nodes
 * @param leaving whether the instance list says that the instance is leaving
 * @param slots concurrent requests of the target, 0 if the instance list does not say
 * @param warmUpMilliseconds time for which the target was still slow when the list named it
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
