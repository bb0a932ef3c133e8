package org.foxtailmoor.node.control;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.foxtailmoor.protocol.generated.Instance;

/**
 * Looks up the control address and the region of a peer in the instance list. The id of a seed peer
 * is not in the list; it is its control address in the form {@code 127.0.0.1:7400}.
 */
final class PeerAddresses {
    private Map<String, Instance> mInstancesById = Map.of();

    /** Replaces the instances that are looked up. */
    void update(Collection<Instance> instances) {
        Map<String, Instance> byId = new HashMap<>();
        for (Instance instance : instances) {
            byId.put(instance.getId(), instance);
        }
        mInstancesById = byId;
    }

    /** Returns the control address of a peer, or empty if it is not known. */
    Optional<InetSocketAddress> addressOf(String peerId) {
        Instance instance = mInstancesById.get(peerId);
        if (instance != null) {
            return Optional.of(
                    new InetSocketAddress(instance.getAddress(), instance.getControlPort()));
        }
        return parseSeedId(peerId);
    }

    /** Returns the region of a peer, or an empty string if it is not known. */
    String regionOf(String peerId) {
        Instance instance = mInstancesById.get(peerId);
        return instance == null ? "" : instance.getRegion();
    }

    private static Optional<InetSocketAddress> parseSeedId(String peerId) {
        int colon = peerId.lastIndexOf(':');
        if (colon <= 0) {
            return Optional.empty();
        }
        try {
            int port = Integer.parseInt(peerId.substring(colon + 1));
            return Optional.of(new InetSocketAddress(peerId.substring(0, colon), port));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
