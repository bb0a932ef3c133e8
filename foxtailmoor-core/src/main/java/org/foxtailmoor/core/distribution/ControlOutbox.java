package org.foxtailmoor.core.distribution;

import org.foxtailmoor.protocol.generated.ControlMessage;

/** Sends control messages to peers. */
public interface ControlOutbox {
    /**
     * Sends a message to a peer, opening a connection if there is none. The message is dropped if
     * the peer cannot be reached.
     *
     * @param peerId instance id of the peer, or the id given to {@link DistributionEngine#addSeed}
     * @param message message, not null
     */
    void send(String peerId, ControlMessage message);
}
