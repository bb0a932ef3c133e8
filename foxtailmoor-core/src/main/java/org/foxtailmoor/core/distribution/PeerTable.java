package org.foxtailmoor.core.distribution;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Bounded table of peers with least-recently-used eviction. The connection of an evicted peer is
 * closed.
 */
final class PeerTable {
    /** Maximum number of peers. */
    static final int MAX_SIZE = 32;

    private final ControlOutbox mOutbox;
    private final Map<String, Peer> mPeers = new LinkedHashMap<>(2 * MAX_SIZE, 0.75f, true);

    PeerTable(ControlOutbox outbox) {
        mOutbox = outbox;
    }

    /** Returns a peer and marks it as most recently used, adding it if absent. */
    Peer touch(String id, long nowNanoseconds) {
        Peer peer = mPeers.computeIfAbsent(id, name -> new Peer(name, nowNanoseconds));
        if (mPeers.size() > MAX_SIZE) {
            Peer eldest = mPeers.values().iterator().next();
            mPeers.remove(eldest.id());
            if (eldest.isConnected()) {
                mOutbox.close(eldest.id());
            }
        }
        return peer;
    }

    /** Returns a peer without marking it as used, or null if absent. */
    Peer find(String id) {
        for (Peer peer : mPeers.values()) {
            if (peer.id().equals(id)) {
                return peer;
            }
        }
        return null;
    }

    /** Returns a copy of the peers, the most recently used last. */
    List<Peer> list() {
        return new ArrayList<>(mPeers.values());
    }
}
