package org.foxtailmoor.core.distribution;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The peers used most recently. When the table is full, the connection to the peer that was not
 * used for the longest time is closed.
 */
final class PeerTable {
    /** Largest number of peers with a connection or remembered state. */
    static final int LARGEST_SIZE = 32;

    private final ControlOutbox mOutbox;
    private final Map<String, Peer> mPeers = new LinkedHashMap<>(2 * LARGEST_SIZE, 0.75f, true);

    PeerTable(ControlOutbox outbox) {
        mOutbox = outbox;
    }

    /** Returns a peer and marks it as used, adding it if it is not in the table. */
    Peer use(String id, long nowNanoseconds) {
        Peer peer = mPeers.computeIfAbsent(id, name -> new Peer(name, nowNanoseconds));
        if (mPeers.size() > LARGEST_SIZE) {
            Peer eldest = mPeers.values().iterator().next();
            mPeers.remove(eldest.id());
            if (eldest.isConnected()) {
                mOutbox.close(eldest.id());
            }
        }
        return peer;
    }

    /** Returns a peer without marking it as used, or null if it is not in the table. */
    Peer find(String id) {
        for (Peer peer : mPeers.values()) {
            if (peer.id().equals(id)) {
                return peer;
            }
        }
        return null;
    }

    /** Returns a copy of the peers, the one used last at the end. */
    List<Peer> list() {
        return new ArrayList<>(mPeers.values());
    }
}
