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

    /**
     * Closes the connection to a peer, if there is one; the next message opens a new one. Called
     * for unresponsive connections and for connections that are no longer needed. The default does
     * nothing.
     *
     * @param peerId id of the peer
     */
    default void close(String peerId) {}
}
